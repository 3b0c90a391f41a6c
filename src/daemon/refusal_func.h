/** @file refusal_func.h Refusals as exceptions and as HTTP responses. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"
#include "http/server_base.h"
#include "table/refusal_table.h"

#include <string>

namespace teaselreach::daemon {

/** Thrown to refuse a request; the catcher answers it with makeRefusal(). */
class RequestRefused : public core::Error
{
public:
    /**
     * @param refusal The row of the refusal table.
     * @param detail Written to the log, not sent to the caller; must not contain a key.
     */
    explicit RequestRefused(table::Refusal refusal, const std::string &detail = "");

    /** @return The row of the refusal table. */
    table::Refusal refusal() const { return refusal_; }

private:
    table::Refusal refusal_;
};

/** Field of a refusal that tells callers whether the request has run. */
inline constexpr const char *executionField = "X-Teaselreach-Execution";

/** @return The response to the caller of a refused request. */
http::ServerResponse makeRefusal(table::Refusal refusal, const core::RequestId &requestId);

/** @return A new random request id. */
core::RequestId makeRequestId();

} // namespace teaselreach::daemon
