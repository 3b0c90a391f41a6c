/** @file soak_upstream.cpp An upstream with fault injection for the soak. */
#include "platform/names_type.h"
#include "proxy/exchange_func.h"
#include "soak_upstream_base.h"

namespace teaselreach::soak {

namespace {

/** Time after which a draining upstream gets no requests, and a margin for slow processes. */
constexpr core::Millis drainBound {2500 + 500};
/** Response time of an upstream that hangs. */
constexpr core::Seconds hangTime {8};

} // namespace

SoakUpstream::SoakUpstream(proxy::asio::io_context &context, std::string id, std::uint16_t port,
                           Ledger &ledger, std::uint64_t seed)
    : context_(context)
    , id_(std::move(id))
    , ledger_(ledger)
    , random_(seed)
    , server_(context, soakAddress(), port,
              {.serve =
                   [this](std::shared_ptr<proxy::CallerExchange> exchange) {
                       return serve(std::move(exchange));
                   },
               .limits = [] { return proxy::SessionLimits {}; },
               .shouldClose = [] { return false; }})
{ }

void SoakUpstream::restartDrainTimer(core::MonoTime now)
{
    if (drainingSince_)
        drainingSince_ = now;
}

proxy::asio::awaitable<void> SoakUpstream::sleepFor(core::Micros time)
{
    proxy::asio::steady_timer timer(context_, time);
    proxy::ErrorCode ignored; // Nothing cancels the timer.
    co_await timer.async_wait(proxy::captureError(ignored));
}

void SoakUpstream::checkDrain(const std::string &id)
{
    if (drainingSince_ && core::MonoClock::now() - *drainingSince_ > drainBound)
        ledger_.broken("drain", id + " reached " + id_ + ", which has been leaving for too long");
}

proxy::asio::awaitable<void> SoakUpstream::serve(std::shared_ptr<proxy::CallerExchange> exchange)
{
    const proxy::HeaderNames names = platform::headerNames();
    const std::string id(proxy::fieldValue(exchange->request, names.attemptId));
    const std::string account(proxy::fieldValue(exchange->request, names.account));
    const std::string target(proxy::fieldValue(exchange->request, names.targetUpstream));
    proxy::HttpResponse response(proxy::beasthttp::status::ok, 11);
    response.set(names.attemptId, id);
    const bool sheds = fault_ == UpstreamFault::Sheds && random_() % 2 == 0;
    if (target != id_ || sheds) {
        response.result(sheds ? 503 : 421);
        response.set(names.notExecuted, "1");
        response.prepare_payload();
        exchange->response = std::move(response);
        co_return;
    }
    checkDrain(id);
    ledger_.ran(core::MonoClock::now(), id, account,
                exchange->request.count(proxy::beasthttp::field::authorization) > 0);
    const UpstreamFault fault = random_() % 10 < 7 ? fault_ : UpstreamFault::None;
    constexpr core::Millis work {20};
    co_await sleepFor(fault == UpstreamFault::Hangs      ? core::Micros(hangTime)
                          : fault == UpstreamFault::Slow ? core::Micros(10 * work)
                                                         : core::Micros(work));
    if (fault == UpstreamFault::Errors)
        response.result(500);
    if (fault != UpstreamFault::MissingSeal)
        response.set(names.seal, "seal-" + id);
    response.body() = fault == UpstreamFault::Errors ? "failed" : Ledger::expectedBody(id);
    response.prepare_payload();
    exchange->response = std::move(response);
}

} // namespace teaselreach::soak
