/** @file request_flow_explain.cpp Explains what would happen to a request. */
#include "proxy/request_flow_internal.h"

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** @return The account with an id, or nullptr. */
const Account *findAccountById(const Configuration &configuration, const core::ClientAccountId &id)
{
    const auto found = std::find_if(configuration.accounts.begin(), configuration.accounts.end(),
                                    [&](const Account &account) { return account.id == id; });
    return found == configuration.accounts.end() ? nullptr : &*found;
}

} // namespace

PlacementAnswer RequestFlow::explain(core::MonoTime now, const PlacementQuery &query) const
{
    PlacementAnswer answer;
    const auto refused = [&](QueryRefusal refusal) {
        answer.refusal = refusal;
        return answer;
    };
    if (!table_)
        return refused(QueryRefusal::NoConfiguration);
    const Configuration &configuration = table_->configuration();
    answer.configVersion = configuration.version.count();
    if (phase_ == core::Phase::Refusing)
        return refused(QueryRefusal::ShuttingDown);
    const Route *route = table_->findRoute(query.host, query.path);
    if (route == nullptr)
        return refused(QueryRefusal::UnknownRoute);
    answer.route = *route;
    answer.allowedRegions = route->allowedRegions;
    DispatchRequest request {.route = route,
                             .allowedRegions = route->allowedRegions,
                             .bodyBytes = options_.upstreamBytes.enabled ? query.bodyBytes : 0,
                             .arrivedAt = now,
                             .deadline = now + route->timeout};
    if (query.account) {
        const Account *account = findAccountById(configuration, *query.account);
        if (account == nullptr)
            return refused(QueryRefusal::UnknownAccount);
        answer.room = parts_.shares.roomOf(now, *account);
        request.account = account->id;
        request.accountPriority = account->priority;
        request.allowedRegions = request.allowedRegions.intersect(account->allowedRegions);
        answer.allowedRegions = request.allowedRegions;
    }
    if (query.bodyBytes > configuration.limits.maxBodyBytes)
        return refused(QueryRefusal::BodyTooLong);
    if (request.allowedRegions.isNone())
        return refused(QueryRefusal::NoAllowedRegion);
    for (const Destination &destination : route->destinations) {
        request.service = destination.service;
        answer.services.push_back({.service = destination.service,
                                   .weight = destination.weight,
                                   .dispatch = dispatcher_.explain(now, request)});
    }
    return answer;
}

} // namespace teaselreach::proxy
