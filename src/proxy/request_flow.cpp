/** @file request_flow.cpp Admits and places requests, and refuses them. */
#include "proxy/request_flow_internal.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace teaselreach::proxy {

namespace {

/** Retry-After of a request that no upstream in its home regions can serve: an upstream that starts
 * or an evacuation that ends takes seconds. */
constexpr core::Seconds noRegionRetryAfter {1};
/** Retry-After while this VM has no configuration or is shutting down: other VMs can serve the
 * request at once. */
constexpr core::Millis elsewhereRetryAfter {100};

std::string formatSeconds(core::Micros time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace

RequestFlow::RequestFlow(Parts parts, RequestFlowOptions options, std::uint64_t seed)
    : parts_(parts)
    , options_(std::move(options))
    , dispatcher_(parts.upstreams, options_.dispatch)
    , loop_(parts.context, *this, {.budget = options_.bodies})
    , splits_(seed)
    , random_(seed)
{ }

asio::awaitable<void> RequestFlow::serve(std::shared_ptr<CallerExchange> exchange)
{
    return loop_.serve(std::move(exchange));
}

void RequestFlow::leaveBy(core::MonoTime lastResponseAt)
{
    phase_ = core::Phase::Leaving;
    lastResponseAt_ = lastResponseAt;
    dispatcher_.limitDeadlines(lastResponseAt);
}

/** Moves the deadline of a request forward to the end of the process, if that is known. */
void RequestFlow::limitDeadline(Job &job) const
{
    if (lastResponseAt_)
        job.request.deadline = std::min(job.request.deadline, *lastResponseAt_);
}

RequestFlow::Job RequestFlow::createJob(const std::shared_ptr<CallerExchange> &exchange) const
{
    return {.exchange = exchange, .table = table_};
}

/** Finds route, account and deadline and applies the limit. @return Whether the request is
 * admitted; it is refused if not. */
asio::awaitable<bool> RequestFlow::admit(Job &job)
{
    if (!findRoute(job) || !findAccount(job) || !findRegions(job) || !checkLimit(job))
        co_return false;
    const CallerExchange &exchange = *job.exchange;
    const core::MonoTime now = exchange.receivedAt;
    const auto timeout = callerTimeout(exchange.request, options_.names);
    const Route &route = *job.request.route;
    job.request.arrivedAt = now;
    job.request.deadline = now + std::min(timeout.value_or(route.timeout), route.timeout);
    if (job.account != nullptr) {
        job.request.account = job.account->id;
        job.request.accountPriority = job.account->priority;
    }
    job.request.service = splits_.select(route);
    if (options_.upstreamBytes.enabled)
        job.request.bodyBytes = exchange.request.body().size();
    dispatcher_.requestArrived(now, job.request.service);
    parts_.upstreams.requestArrived(now, job.request.service, job.request.allowedRegions);
    co_return true;
}

/** Counts the request against its account's limit. @return Whether it is within the limit; it is
 * refused if not. */
bool RequestFlow::checkLimit(Job &job)
{
    const core::MonoTime now = job.exchange->receivedAt;
    if (job.account == nullptr)
        return true;
    job.limitReason = parts_.shares.decide(now, *job.account, job.request.route->priority);
    if (job.limitReason == AdmissionReason::Admitted)
        return true;
    parts_.registry.addCounter("teaselreach_account_refusals_total",
                               {{"account", job.account->id.str()},
                                {"reason", std::string(admissionReasonName(job.limitReason))}},
                               1);
    refuse(job,
           {.status = beasthttp::status::too_many_requests,
            .code = "rate_limited",
            .retryAfter = parts_.shares.timeUntilAdmission(now, *job.account)});
    return false;
}

/** Checks that the VM serves requests and finds the route. @return Whether the request has a route;
 * it is refused if not. */
bool RequestFlow::findRoute(Job &job)
{
    if (!job.table || phase_ == core::Phase::Refusing) {
        refuse(job,
               {.status = beasthttp::status::service_unavailable,
                .code = job.table ? "shutting_down" : "no_configuration",
                .retryAfter = elsewhereRetryAfter});
        return false;
    }
    const HttpRequest &request = job.exchange->request;
    if (request.method() == beasthttp::verb::connect) {
        refuse(job, {.status = beasthttp::status::not_implemented, .code = "method_not_supported"});
        return false;
    }
    const bool hasForbiddenBody =
        request.method() == beasthttp::verb::trace && !request.body().empty();
    const auto host = request[beasthttp::field::host];
    const auto target = request.target();
    if (host.empty() || target.empty() || target.front() != '/' || hasForbiddenBody) {
        refuse(job, {.status = beasthttp::status::bad_request, .code = "malformed_request"});
        return false;
    }
    job.request.route =
        job.table->findRoute({host.data(), host.size()}, {target.data(), target.size()});
    if (job.request.route == nullptr) {
        refuse(job, {.status = beasthttp::status::not_found, .code = "unknown_route"});
        return false;
    }
    return true;
}

/** Finds the account of the API key. @return Whether the request may use its route; it is refused
 * if the route needs a key and the key is unknown. */
bool RequestFlow::findAccount(Job &job)
{
    const auto key = apiKeyOf(job.exchange->request, options_.names);
    job.account = key ? job.table->findAccount(*key) : nullptr;
    const bool needsKey = !job.request.route->isPublic && job.table->configuration().needsKeys();
    if (needsKey && job.account == nullptr) {
        refuse(job, {.status = beasthttp::status::unauthorized, .code = "unknown_key"});
        return false;
    }
    return true;
}

core::ClientAccountId RequestFlow::accountOf(const HttpRequest::header_type &header) const
{
    const auto key = apiKeyOf(header, options_.names);
    const Account *account = table_ && key ? table_->findAccount(*key) : nullptr;
    return account == nullptr ? core::ClientAccountId() : account->id;
}

/** Finds the regions in which the request may be served. @return Whether there are any; it is
 * refused if route and account have no region in common. */
bool RequestFlow::findRegions(Job &job)
{
    job.request.allowedRegions = job.request.route->allowedRegions;
    if (job.account != nullptr)
        job.request.allowedRegions =
            job.request.allowedRegions.intersect(job.account->allowedRegions);
    if (!job.request.allowedRegions.isNone())
        return true;
    refuse(job,
           {.status = beasthttp::status::service_unavailable,
            .code = placementFailureName(PlacementFailure::NoAllowedRegion),
            .retryAfter = noRegionRetryAfter});
    return false;
}

/** Restricts a request to the regions that a request like it may be served in now. Regions that a
 * later configuration adds do not apply to it. @return Whether its regions have changed. */
bool RequestFlow::narrowRegions(Job &job) const
{
    if (job.table == table_)
        return false;
    const HttpRequest &request = job.exchange->request;
    const auto host = request[beasthttp::field::host];
    const auto target = request.target();
    const Route *route =
        table_->findRoute({host.data(), host.size()}, {target.data(), target.size()});
    RegionSet regions = job.request.allowedRegions;
    if (route != nullptr)
        regions = regions.intersect(route->allowedRegions);
    for (const Account &account : table_->configuration().accounts) {
        if (job.account != nullptr && account.id == job.account->id)
            regions = regions.intersect(account.allowedRegions);
    }
    if (regions == job.request.allowedRegions)
        return false;
    core::logEvent(core::LogLevel::Info, "regions_narrowed",
                   {{"route", job.request.route->id.str()},
                    {"account", job.request.account.str()},
                    {"before", job.request.allowedRegions.text()},
                    {"allowed_regions", regions.text()}});
    job.request.allowedRegions = std::move(regions);
    return true;
}

void RequestFlow::configure(std::shared_ptr<const RouteTable> table)
{
    table_ = std::move(table);
    const core::MonoTime now = core::MonoClock::now();
    for (auto &[ticket, waiter] : waiters_) {
        if (waiter->result || !narrowRegions(waiter->job))
            continue;
        dispatcher_.withdraw(now, waiter->job.request.service, ticket);
        waiter->isNarrowed = true;
        waiter->wake.cancel();
    }
}

asio::awaitable<std::optional<Placement>> RequestFlow::place(Job &job)
{
    narrowRegions(job);
    if (!reserveResponse(job))
        co_return std::nullopt;
    PlacementResult result = co_await choosePlacement(job);
    if (!result.placement)
        refuseUnplaced(job, result.reason);
    co_return std::move(result.placement);
}

/** Chooses an upstream; waits in the queue if all are busy. */
asio::awaitable<PlacementResult> RequestFlow::choosePlacement(Job &job)
{
    while (!job.request.allowedRegions.isNone()) {
        limitDeadline(job); // The end of the process may have been set while it waited.
        const core::MonoTime now = core::MonoClock::now();
        DispatchResult result = dispatcher_.submit(now, job.request);
        if (result.evicted)
            wakeWaiters({*result.evicted});
        if (result.placement)
            co_return PlacementResult {.placement = std::move(result.placement)};
        if (result.refusal)
            co_return PlacementResult {.placement = std::nullopt, .reason = *result.refusal};
        const std::optional<PlacementResult> decided =
            co_await waitForPlacement(job, *result.wait, now);
        if (decided)
            co_return *decided;
    }
    co_return PlacementResult {.placement = std::nullopt,
                               .reason = PlacementFailure::NoAllowedRegion};
}

/** Waits until the dispatcher decides or the caller disconnects. @return The decision; nothing if
 * the request must be submitted again, because its regions have changed. */
asio::awaitable<std::optional<PlacementResult>>
RequestFlow::waitForPlacement(Job &job, WaitTicket ticket, core::MonoTime now)
{
    const auto waiter = std::make_shared<Waiter>(parts_.context, job);
    waiters_.emplace(ticket, waiter);
    job.exchange->onCallerLeft = [waiter] { waiter->wake.cancel(); };
    ErrorCode cancelled; // The timer never expires; cancelling it wakes the request.
    co_await waiter->wake.async_wait(captureError(cancelled));
    job.exchange->onCallerLeft = nullptr;
    job.waited += core::MonoClock::now() - now;
    waiters_.erase(ticket);
    if (waiter->result)
        co_return *waiter->result;
    if (waiter->isNarrowed && !job.exchange->callerLeft)
        co_return std::nullopt;
    dispatcher_.withdraw(core::MonoClock::now(), job.request.service, ticket);
    co_return PlacementResult {.placement = std::nullopt, .reason = PlacementFailure::TooLate};
}

void RequestFlow::wakeWaiters(std::vector<DispatchDecision> decided)
{
    for (DispatchDecision &decision : decided) {
        const std::shared_ptr<Waiter> &waiter = waiters_.at(decision.ticket);
        waiter->result = std::move(decision.result);
        waiter->wake.cancel();
    }
}

void RequestFlow::dispatchWaiting(core::MonoTime now)
{
    wakeWaiters(dispatcher_.dispatchWaiting(now));
}

void RequestFlow::refuse(Job &job, const Refusal &refusal)
{
    HttpResponse response(refusal.status, httpVersion11);
    if (refusal.retryAfter)
        response.set(beasthttp::field::retry_after, formatSeconds(*refusal.retryAfter));
    const std::string_view id = fieldValue(job.exchange->request, options_.names.attemptId);
    if (!id.empty())
        response.set(options_.names.attemptId, std::string(id));
    response.prepare_payload();
    job.exchange->response = std::move(response);
    job.outcome = refusal.code;
}

bool RequestFlow::promisesNotExecuted(const Job &job) const
{
    return proxy::promisesNotExecuted(job.exchange->response);
}

/** Refuses a request that may have been executed. */
void RequestFlow::refuseAsUnknown(Job &job)
{
    refuse(job, {.status = beasthttp::status::bad_gateway, .code = "upstream_failed"});
}

/** @return Retry-After of a request that no upstream ran. */
core::Micros RequestFlow::busyRetryAfter(const Job &job)
{
    std::uniform_real_distribution<double> jitter(0, 1);
    return dispatcher_.retryAfter(core::MonoClock::now(), job.request, jitter(random_));
}

void RequestFlow::refuseUnplaced(Job &job, PlacementFailure reason)
{
    if (job.exchange->evidence.mayHaveExecuted()) {
        refuseAsUnknown(job);
        return;
    }
    if (job.account != nullptr && job.request.sent == 0)
        parts_.shares.refund(*job.account);
    const bool lacksRegion = reason == PlacementFailure::NoAllowedRegion;
    refuse(job,
           {.status = beasthttp::status::service_unavailable,
            .code = placementFailureName(reason),
            .retryAfter = lacksRegion ? core::Micros(noRegionRetryAfter) : busyRetryAfter(job)});
}

} // namespace teaselreach::proxy
