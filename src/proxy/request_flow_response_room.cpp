/** @file request_flow_response_room.cpp Room for large responses before their requests are sent. */
#include "proxy/request_flow_internal.h"

#include <charconv>

namespace teaselreach::proxy {

namespace {

/** Retry-After of a request whose response finds no room: a few typical execution times, as for a
 * request whose own body finds none. */
constexpr core::Seconds noRoomRetryAfter {1};

} // namespace

/** @return Bytes that the response of a request probably needs; 0 if it is unknown or small, or if
 * the budget has no shares by account. */
std::size_t RequestFlow::expectedResponse(const Job &job) const
{
    if (!options_.bodies || !options_.bodies->sharesByAccount()
        || job.exchange->request.method() == beasthttp::verb::head)
        return 0;
    return responseSizes_.expected(core::MonoClock::now(), job.request.route->id);
}

/** Reserves room for a response that is probably large. A retry goes on without it, since the
 * earlier attempt may have run. @return Whether there is room; the request is refused if not. */
bool RequestFlow::reserveResponse(Job &job)
{
    job.responseRoom.reset();
    const std::size_t bytes = expectedResponse(job);
    if (bytes == 0)
        return true;
    auto room = std::make_shared<BodyReservation>(options_.bodies, job.request.account);
    // Waiting for room would not help. The response fails if it is really that large.
    if (!room->canEverHold(bytes))
        return true;
    if (room->extendTo(bytes)) {
        job.responseRoom = std::move(room);
        return true;
    }
    if (job.request.sent > 0)
        return true;
    room->logRefusal(bytes);
    if (job.account != nullptr)
        parts_.shares.refund(*job.account);
    refuse(job,
           {.status = beasthttp::status::service_unavailable,
            .code = "no_room",
            .retryAfter = noRoomRetryAfter});
    return false;
}

/** @return The reservation for the response of an attempt, with what reserveResponse() has found;
 * nullptr if the budget has no shares by account. */
std::shared_ptr<BodyReservation> RequestFlow::responseBody(Job &job) const
{
    if (!options_.bodies || !options_.bodies->sharesByAccount())
        return nullptr;
    if (job.responseRoom)
        return std::move(job.responseRoom);
    return std::make_shared<BodyReservation>(options_.bodies, job.request.account);
}

/** Records the size of a response, also of one that was cut off after it stated its size. */
void RequestFlow::observeResponseSize(const Job &job, const ExchangeResult &result)
{
    if (!options_.bodies || !options_.bodies->sharesByAccount()
        || job.exchange->request.method() == beasthttp::verb::head)
        return;
    const auto stated = result.response[beasthttp::field::content_length];
    std::size_t bytes = result.response.body().size();
    if (result.failure != ExchangeFailure::None) {
        std::size_t length = 0;
        std::from_chars(stated.data(), stated.data() + stated.size(), length);
        bytes = std::max(bytes, length);
        // A failure without a header section tells nothing about the size, and a size that the
        // process can never hold is no size of a response that callers get.
        if (bytes == 0 || !options_.bodies->canEverHold(bytes))
            return;
    } else if (classifyExchange(result, options_.names) != AttemptEnd::Answered) {
        return; // Refusals and errors are short, and would hide the size of the others.
    }
    responseSizes_.responded(core::MonoClock::now(), job.request.route->id, bytes);
}

} // namespace teaselreach::proxy
