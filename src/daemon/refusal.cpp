/** @file refusal.cpp Refusals as exceptions and as HTTP responses. */
#include "core/digest_func.h"
#include "daemon/refusal_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

constexpr std::size_t requestIdBytes = 8;

std::string detailOrDefaultMessage(table::Refusal refusal, const std::string &detail)
{
    return detail.empty() ? std::string(table::refusalRow(refusal).message) : detail;
}

/** @return Whether the connection must be closed after this refusal. */
bool mustCloseConnection(table::Refusal refusal)
{
    return refusal == table::Refusal::ShuttingDown || refusal == table::Refusal::BodyTooLarge
        || refusal == table::Refusal::MalformedRequest;
}

} // namespace

RequestRefused::RequestRefused(table::Refusal refusal, const std::string &detail)
    : Error(table::refusalRow(refusal).code, detailOrDefaultMessage(refusal, detail))
    , refusal_(refusal)
{ }

http::ServerResponse makeRefusal(table::Refusal refusal, const core::RequestId &requestId)
{
    const table::RefusalRow &row = table::refusalRow(refusal);
    const std::string code(row.code);
    const std::string execution(table::executionName(row.execution));
    const nlohmann::json body = {{"error",
                                  {{"code", code},
                                   {"execution", execution},
                                   {"message", std::string(row.message)},
                                   {"request_id", requestId.str()}}}};
    return {.status = row.status,
            .headers = {{"Content-Type", "application/json"},
                        {"X-Teaselreach-Error", code},
                        {executionField, execution},
                        {"X-Teaselreach-Request-Id", requestId.str()}},
            .body = body.dump(),
            .closeConnection = mustCloseConnection(refusal)};
}

core::RequestId makeRequestId()
{
    return core::RequestId(core::randomHex(requestIdBytes));
}

} // namespace teaselreach::daemon
