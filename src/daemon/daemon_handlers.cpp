/** @file daemon_handlers.cpp RPC methods for other daemons and the `teaselreach` tool. */
#include "burn/burn_report_func.h"
#include "config/fleet_status_func.h"
#include "daemon/daemon_base.h"
#include "daemon/feeds_base.h"
#include "daemon/handler_error_type.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

using nlohmann::json;

json toJson(const upstream::EvidenceCounts &counts)
{
    return {{"good", counts.good}, {"failed", counts.failed}, {"overdue", counts.overdue}};
}

/** @return Milliseconds from `at` to `now`. */
std::int64_t ageMillis(core::MonoTime at, core::MonoTime now)
{
    return std::chrono::duration_cast<core::Millis>(now - at).count();
}

json toJson(const core::ServiceId &service, const upstream::Explanation &explanation,
            core::MonoTime now)
{
    json sources = json::array();
    for (const upstream::EvidenceSource &source : explanation.ejectionEvidence) {
        sources.push_back({{"vm", source.reporter.str()},
                           {"availability_zone", source.zone.str()},
                           {"evidence", toJson(source.counts)}});
    }
    json document = {{"service", service.str()},
                     {"upstream", explanation.upstream.str()},
                     {"state", upstream::useStateName(explanation.state)},
                     {"relapses", explanation.relapses},
                     {"refused_by_floor", explanation.refusedByFloor},
                     {"own_evidence", toJson(explanation.own)},
                     {"ejection_evidence", std::move(sources)}};
    if (explanation.ejectedAt != core::MonoTime()) {
        document["last_ejection_ms_ago"] = ageMillis(explanation.ejectedAt, now);
        document["scope"] = upstream::scopeName(explanation.scope);
    }
    return document;
}

json toJson(const RequestSummary &request)
{
    return {{"request_id", request.id.str()},     {"account", request.account.str()},
            {"route", request.route.str()},       {"service", request.service.str()},
            {"upstream", request.upstream.str()}, {"attempts", request.attempts},
            {"status", request.status},           {"outcome", request.outcome},
            {"reason", request.reason},           {"duration_us", request.duration.count()}};
}

} // namespace

void Daemon::addHandlers()
{
    handlers_.add("peer.exchange",
                  [this](const json &params) { return feeds().peers().answerExchange(params); });
    handlers_.add("config.fetch",
                  [this](const json &params) { return feeds().config().answerFetch(params); });
    handlers_.add("limit.borrow",
                  [this](const json &params) { return limits_.answerBorrow(params); });
    handlers_.add("limit.placement",
                  [this](const json &) { return feeds().peers().answerPlacement(); });
    handlers_.add("fleet.status", [this](const json &) { return answerStatus(); });
    handlers_.add("fleet.members", [this](const json &) { return answerMembers(); });
    handlers_.add("fleet.explain", [this](const json &params) { return answerExplain(params); });
    handlers_.add("fleet.burn", [this](const json &) { return answerBurn(); });
}

/** @return The feeds. @throws NotStarted if startFeeds() has not finished yet. */
Feeds &Daemon::feeds() const
{
    Feeds *feeds = startedFeeds_.load();
    if (feeds == nullptr)
        throw NotStarted();
    return *feeds;
}

json Daemon::answerStatus() const
{
    const ConfigService &config = feeds().config();
    json status = config::toJson(config::FleetStatus {
        .vm = settings_.vm.id,
        .state = lifecycle_.phase() == core::Phase::Serving ? "live" : "leaving",
        .activeHead = config.activeHead(),
        .storeBehind = config.storeBehind(),
        .rejected = config.rejectedRecordCount()});
    const auto placement = limits_.placement();
    status["placement_revision"] = placement ? placement->revision.count() : 0;
    status["acts_as_home"] = limits_.actsAsHome();
    status["store_silence_ms"] = config_.storeSilence(core::MonoClock::now()).count();
    return status;
}

json Daemon::answerMembers() const
{
    const core::MonoTime now = core::MonoClock::now();
    json members = json::array();
    for (const auto &[vm, known] : feeds().peers().members()) {
        if (!known.newest)
            continue;
        const bool leaving = known.newest->state == core::VmState::Leaving;
        json member = {{"vm", vm.str()},
                       {"state", leaving ? "leaving" : "live"},
                       {"revision", known.newest->revision.count()}};
        if (known.lastHeardAt)
            member["heard_ms_ago"] = ageMillis(*known.lastHeardAt, now);
        if (known.lastAckedAt)
            member["hears_this_vm_ms_ago"] = ageMillis(*known.lastAckedAt, now);
        members.push_back(std::move(member));
    }
    return members;
}

json Daemon::answerExplain(const json &params) const
{
    const std::string subject = params.at("subject");
    const std::string id = params.at("id");
    if (subject == "upstream") {
        json found = json::array();
        for (const auto &[service, explanation] : upstreams_.explain(core::UpstreamId(id)))
            found.push_back(toJson(service, explanation, core::MonoClock::now()));
        return found;
    }
    json found = json::array();
    if (subject == "account") {
        for (const RequestSummary &request :
             observer_.unansweredRequestsOf(core::ClientAccountId(id)))
            found.push_back(toJson(request));
        return found;
    }
    if (subject == "request") {
        if (const auto request = observer_.find(core::RequestId(id)))
            found.push_back(toJson(*request));
        return found;
    }
    throw UnknownSubject(subject);
}

json Daemon::answerBurn() const
{
    return burn::samplesToJson(observer_.burn().samples(core::MonoClock::now()));
}

} // namespace teaselreach::daemon
