/** @file refusal_func.h Refusals as exceptions and as HTTP answers. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"
#include "http/server_base.h"
#include "table/refusal_table.h"

#include <string>

namespace teaselreach::daemon {

/** A request is refused; the pipeline turns it into an answer. */
class RequestRefused : public core::Error
{
public:
    /**
     * @param refusal The row of the refusal table.
     * @param detail For the log line, not for the caller; never a key.
     */
    explicit RequestRefused(table::Refusal refusal, const std::string &detail = "");

    /** @return The row of the refusal table. */
    table::Refusal refusal() const { return refusal_; }

private:
    table::Refusal refusal_;
};

/** @return The answer that a caller gets for a refusal. */
http::ServerResponse makeRefusal(table::Refusal refusal, const core::RequestId &requestId);

/** @return A fresh request id. */
core::RequestId makeRequestId();

} // namespace teaselreach::daemon
