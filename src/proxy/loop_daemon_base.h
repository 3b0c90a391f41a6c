/** @file loop_daemon_base.h The proxy daemon on one event loop: servers, fleet state, shutdown. */
#pragma once

#include "fleet/fleet_sync_base.h"
#include "fleet/peer_liveness_base.h"
#include "fleet/peer_messenger_base.h"
#include "fleet/pool_reports_base.h"
#include "fleet/share_hand_over_func.h"
#include "fleet/standstill_base.h"
#include "fleet/zone_load_exchange_base.h"
#include "proxy/loop_daemon_type.h"

#include <boost/asio/signal_set.hpp>

#include <optional>
#include <set>

namespace teaselreach::proxy {

/** The servers, the request path and the fleet state of one proxy process. */
template <FleetStore Store, DirectoryCodec Directory>
class LoopDaemon
{
public:
    /**
     * @param context The event loop. @param store Client of the fleet store.
     * @param directory Directory codec. @param options Settings. The first three must outlive the
     * daemon.
     * @throws http::ServerUnavailable if an address cannot be bound.
     */
    LoopDaemon(asio::io_context &context, Store &store, Directory &directory,
               LoopDaemonOptions options)
        : context_(context)
        , directory_(directory)
        , options_(std::move(options))
        , upstreams_({.self = options_.self.location,
                      .regionOfZone = options_.regionOfZone,
                      .bytes = options_.flow.upstreamBytes,
                      .zoneLoad = options_.zoneLoad,
                      .prefersRecentSuccess = options_.flow.dispatch.prefersRecentSuccess},
                     options_.seed)
        , shares_(options_.shares)
        , usageCoverage_(options_.shares.window, core::MonoClock::now(), options_.firstStart)
        , entries_({.leavingServesFor = options_.shutdown.serveFor,
                    .limitWindow = options_.shares.window,
                    .handsOver = !options_.shares.pacing.enabled})
        , flow_({.context = context,
                 .upstreams = upstreams_,
                 .shares = shares_,
                 .registry = registry_},
                options_.flow, options_.seed)
        , state_(
              {.flow = flow_, .upstreams = upstreams_, .entries = entries_, .liveness = &liveness_},
              options_.self.id)
        , sync_({.context = context, .store = store, .state = state_, .entries = entries_},
                {.self = options_.self, .limitWindow = options_.shares.window}, options_.seed)
        , peers_(context, options_.peers.address, options_.peers.port,
                 [this](const PeerMessage &message) { handleMessage(message); })
        , callers_(context, options_.callers.address, options_.callers.port, callerHandlers())
        , readiness_(context, options_.readiness.address, options_.readiness.port,
                     syncHandlers(
                         [this](const HttpRequest &request) { return readinessResponse(request); }))
        , directoryServer_(context, options_.directory.address, options_.directory.port,
                           syncHandlers([this](const HttpRequest &request) {
                               return directoryResponse(request);
                           }))
        , relay_(context, sync_.changeLog(), [this] { return sync_.connectedFor(); })
        , internalServer_(context, options_.peers.address, options_.peers.port,
                          {.serve =
                               [this](std::shared_ptr<CallerExchange> exchange) {
                                   return serveInternal(std::move(exchange));
                               },
                           .limits = [] { return SessionLimits {}; },
                           .shouldClose = [] { return false; }})
    {
        if (!options_.firstStart)
            shares_.processRestarted(core::MonoClock::now());
        if (shares_.paced() != nullptr)
            poolReports_.emplace(options_.self.id, *shares_.paced(), usageCoverage_);
        returnFreedBodiesToSystem();
    }

    /** Starts following the store, and the periodic work. */
    void start()
    {
        sync_.start();
        spawn(context_, "ticks", [this]() { return runTicks(); });
    }

    /** Withdraws the registration, finishes pending requests and stops the event loop, at the
     * latest after ShutdownOptions::endAfter. */
    void shutDown()
    {
        if (shutdownStartedAt_)
            return;
        // From now on this VM keeps its share, which is still zero if it has just started.
        updateShares(core::MonoClock::now());
        shutdownStartedAt_ = core::MonoClock::now();
        core::logEvent(core::LogLevel::Info, "daemon_leaving",
                       {{"vm", options_.self.id.str()},
                        {"pending", static_cast<std::int64_t>(callers_.pending())}});
        // Attempts that have to stop by themselves get another margin before the pending rest.
        flow_.leaveBy(*shutdownStartedAt_ + options_.shutdown.endAfter
                      - 2 * options_.shutdown.finalResponseMargin);
        handsOver_ = entries_.isActive(options_.self.id) && !poolReports_;
        entries_.leavingHeard(*shutdownStartedAt_, options_.self.id);
        messageSentAt_ = {}; // Makes the next message due, which announces the shutdown.
        sync_.deregister();
    }

private:
    /** Path of the metrics at the peers address. */
    static constexpr std::string_view metricsPath = "/metrics";
    /** Path of questions where a request would go, at the same address. */
    static constexpr std::string_view explainPath = "/explain";
    /** Longest standstill after which the registration of this VM is sure to be in force, also if
     * its last renewal failed: FleetSyncOptions::leaseTtl less two renewals. */
    static constexpr core::Millis longestStandstill {3500};
    /** Interval of the periodic work. */
    static constexpr core::Millis tickInterval {25};
    /** Ticks between two calls of runMaintenance(). */
    static constexpr int ticksPerMaintenance = 10;
    /** Ticks between two calls of sendMessages(). */
    static constexpr int ticksPerMessage = 2;
    /** Ticks between two checks of the use of accounts. */
    static constexpr int ticksPerUseRecord = 4;
    /** Heartbeat: longest time between two messages to the pool. */
    static constexpr core::Millis messageInterval {400};
    /** The same for a leaving VM, whose share passes to the others. */
    static constexpr core::Millis handOverInterval {100};

    CallerHandlers callerHandlers()
    {
        return {
            .serve =
                [this](std::shared_ptr<CallerExchange> exchange) {
                    noticeStandstill(core::MonoClock::now());
                    return flow_.serve(std::move(exchange));
                },
            .limits = [this] { return sessionLimits(); },
            .shouldClose = [this] { return flow_.phase() != core::Phase::Serving; },
            .budget = options_.flow.bodies,
            .accountOf =
                [this](const HttpRequest::header_type &header) { return flow_.accountOf(header); }};
    }

    CallerHandlers syncHandlers(std::function<HttpResponse(const HttpRequest &)> respond)
    {
        return {.serve =
                    [respond = std::move(respond)](std::shared_ptr<CallerExchange> exchange) {
                        return respondSync(respond, std::move(exchange));
                    },
                .limits = [] { return SessionLimits {}; },
                .shouldClose = [] { return false; }};
    }

    static asio::awaitable<void>
    respondSync(const std::function<HttpResponse(const HttpRequest &)> &respond,
                std::shared_ptr<CallerExchange> exchange)
    {
        exchange->response = respond(exchange->request);
        co_return;
    }

    SessionLimits sessionLimits() const
    {
        if (!flow_.table())
            return {};
        const CallerLimits &limits = flow_.table()->configuration().limits;
        return {.maxHeaderBytes = limits.maxHeaderBytes,
                .maxBodyBytes = limits.maxBodyBytes,
                .headerTimeout = limits.headerTimeout,
                .idleTimeout = limits.idleTimeout};
    }

    static HttpResponse makeResponse(beasthttp::status status, std::string body = "")
    {
        HttpResponse response(status, httpVersion11);
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    HttpResponse readinessResponse(const HttpRequest &request) const
    {
        if (!directory_.isReadinessRequest(request))
            return makeResponse(beasthttp::status::not_found);
        return makeResponse(state_.ready() ? beasthttp::status::ok
                                           : beasthttp::status::service_unavailable);
    }

    HttpResponse directoryResponse(const HttpRequest &request) const
    {
        const std::optional<EntryLookup> lookup = directory_.parseLookup(request);
        if (!lookup)
            return makeResponse(beasthttp::status::not_found);
        const RegionSet homeRegions =
            flow_.table() ? flow_.table()->commonRegionsOf(lookup->host) : RegionSet();
        std::vector<std::string> addresses = entries_.addressesFor(
            lookup->caller, [this](const core::VmId &id) { return isSilentOrLeaving(id); },
            homeRegions);
        // While no member of the fleet is known, a ready VM returns its own address.
        if (addresses.empty() && state_.ready())
            addresses.push_back(options_.self.callerAddress);
        return directory_.addressResponse(addresses);
    }

    asio::awaitable<void> serveInternal(std::shared_ptr<CallerExchange> exchange)
    {
        const std::string_view target(exchange->request.target().data(),
                                      exchange->request.target().size());
        if (target.starts_with(FleetRelay::path))
            exchange->response = co_await relay_.handle(exchange->request);
        else if (target.starts_with(metricsPath))
            exchange->response = metricsResponse();
        else if (target.starts_with(explainPath))
            exchange->response = explainResponse(target);
        else
            exchange->response = makeResponse(beasthttp::status::not_found);
    }

    HttpResponse explainResponse(std::string_view target) const
    {
        const auto query = parsePlacementQuery(target);
        if (const auto *error = std::get_if<PlacementQueryError>(&query))
            return makeResponse(beasthttp::status::bad_request, placementQueryErrorJson(*error));
        return makeResponse(beasthttp::status::ok,
                            placementAnswerJson(flow_.explain(core::MonoClock::now(),
                                                              std::get<PlacementQuery>(query))));
    }

    HttpResponse metricsResponse()
    {
        const core::MonoTime now = core::MonoClock::now();
        for (const core::ServiceId &service : upstreams_.services()) {
            const UpstreamCounts counts = upstreams_.countsOf(now, service);
            const auto set = [&](const char *state, int count) {
                registry_.setGauge("teaselreach_upstreams",
                                   {{"service", service.str()}, {"state", state}}, count);
            };
            set("accepting", counts.accepting);
            set("failing", counts.failing);
            set("slow", counts.slow);
            set("holding_off", counts.holdingOff);
            set("limited", counts.limited);
            set("evacuated", counts.evacuated);
            set("cold", counts.cold);
        }
        flow_.publishMetrics(now);
        return makeResponse(beasthttp::status::ok,
                            registry_.prometheusText(core::MonoClock::now()));
    }

    asio::awaitable<void> runTicks()
    {
        asio::steady_timer timer(context_);
        for (int count = 0; !context_.stopped(); ++count) {
            timer.expires_after(tickInterval);
            ErrorCode ignored; // Nothing cancels the timer.
            co_await timer.async_wait(captureError(ignored));
            core::runGuarded("tick", [&] { runTick(core::MonoClock::now(), count); });
            if (shutdownStartedAt_)
                core::runGuarded("shutdown", [this] {
                    continueShutdown(core::MonoClock::now() - *shutdownStartedAt_);
                });
        }
    }

    /** @param count Number of the tick. */
    void runTick(core::MonoTime now, int count)
    {
        core::flushLog();
        noticeStandstill(now);
        state_.tick(now);
        if (shutdownStartedAt_)
            handShareOver(now);
        flow_.dispatchWaiting(now);
        if (count % ticksPerMessage == 0)
            sendMessages(now);
        if (count % ticksPerUseRecord == 0 && recordsAccountUse(now))
            sync_.recordAccountUse(now, shares_.unsteadyUse(now));
        if (count % ticksPerMaintenance == 0)
            runMaintenance(now);
    }

    /** After a standstill in which the registration of this VM may have lapsed, other VMs may have
     * admitted requests by its share. It is then granted gradually, as after a restart. */
    void noticeStandstill(core::MonoTime now)
    {
        if (!standstill_.observed(now) || shutdownStartedAt_)
            return;
        core::logEvent(core::LogLevel::Warn, "stood_still", {{"vm", options_.self.id.str()}});
        shares_.processRestarted(now);
        usageCoverage_.membershipObserved(now, false);
        updateShares(now);
    }

    /** @return Whether this VM writes the use of accounts to the store for its pool: it is the
     * first of the pool's VMs that still send messages. */
    bool recordsAccountUse(core::MonoTime now) const
    {
        if (!entries_.isActive(options_.self.id))
            return false;
        for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id)) {
            if (peer.id < options_.self.id && liveness_.isReporting(now, peer.id))
                return false;
        }
        return true;
    }

    /** Sends the outcomes at upstreams and the admitted requests to the pool, outcomes and
     * heartbeats to the zone, and some outcomes to other regions. */
    void sendMessages(core::MonoTime now)
    {
        PeerMessage message {.sender = options_.self.id,
                             .leaving = shutdownStartedAt_.has_value(),
                             .outcomes = upstreams_.takeReports(),
                             .usage = shares_.takeUsage(),
                             .limits = upstreams_.takeLimitReports(now, maxLimitReports)};
        const bool isActive = entries_.isActive(options_.self.id);
        usageCoverage_.membershipObserved(now, isActive);
        // An inactive VM counts against its own share only, a leaving one hands its share over.
        if (!isActive && !shutdownStartedAt_)
            message.usage.clear();
        if (!isActive)
            message.limits.clear();
        if (handsOver_)
            message.history = shares_.usageHistory(now);
        if (poolReports_)
            fillPoolReports(now, message);
        const bool due = now - messageSentAt_ > (handsOver_ ? handOverInterval : messageInterval);
        const bool dueToPool =
            due || (poolReports_ && now - poolMessageSentAt_ >= PoolReports::messageInterval);
        const bool hasOutcomes = !message.outcomes.empty();
        zoneLoads_.measure(now);
        if (due) {
            message.zoneLoads = zoneLoads_.reportsForRegion(now);
            messageSentAt_ = now;
        }
        if (dueToPool)
            poolMessageSentAt_ = now;
        std::set<core::VmId> notified;
        if (hasOutcomes || dueToPool || !message.usage.empty() || !message.limits.empty()) {
            for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id)) {
                peers_.send(peer.peerAddress, message);
                notified.insert(peer.id);
            }
        }
        if (poolReports_ && isActive)
            sendHistories(now);
        message.usage.clear();
        message.view.reset();
        if (!due)
            message.history.reset();
        // Inactive VMs need to know the limits, not how much of them is used.
        std::erase_if(message.limits,
                      [](const UpstreamLimitReport &report) { return !report.announcesLimit; });
        const bool hasAnnouncements = hasOutcomes || !message.limits.empty();
        const bool presenceMatters = isActive || shutdownStartedAt_;
        for (const EntryMember &neighbour : entries_.zoneNeighboursOf(options_.self.id)) {
            if ((hasAnnouncements || (due && presenceMatters)) && !notified.contains(neighbour.id))
                peers_.send(neighbour.peerAddress, message);
        }
        // Traffic between regions costs money, so only outcomes that reverse the sender's
        // estimate of an upstream are sent there.
        std::erase_if(message.outcomes,
                      [](const OutcomeReport &report) { return !report.suspicionChanged; });
        message.limits.clear();
        message.zoneLoads.clear();
        // A message of their own: beside many outcomes, reports would be cut off, and a state that
        // has been announced is not announced again.
        const PeerMessage loads {.sender = message.sender,
                                 .leaving = message.leaving,
                                 .zoneLoads = zoneLoads_.reportsForOtherRegions(now)};
        if (message.outcomes.empty() && loads.zoneLoads.empty())
            return;
        for (const EntryMember &peer : entries_.activeInOtherRegions(options_.self.id)) {
            if (!message.outcomes.empty())
                peers_.send(peer.peerAddress, message);
            if (!loads.zoneLoads.empty())
                peers_.send(peer.peerAddress, loads);
        }
    }

    /** Adds usage to a message to the pool, by the accounts and members that are known now. */
    void fillPoolReports(core::MonoTime now, PeerMessage &message)
    {
        if (flow_.table() && flow_.table() != limitedTable_) {
            limitedTable_ = flow_.table();
            shares_.paced()->configure(limitedTable_->configuration().accounts);
        }
        updatePoolReports(now);
        poolReports_->fill(now, message);
        // What an inactive VM admitted is no use of the pool that it joins later.
        if (!entries_.isActive(options_.self.id)) {
            message.usage.clear();
            message.view.reset();
        }
    }

    /** Sets the shares of the pool's VMs; a VM that is inactive or leaves has no pool. */
    void updatePoolReports(core::MonoTime now)
    {
        std::vector<PoolMember> members;
        if (!shutdownStartedAt_ && entries_.isActive(options_.self.id)) {
            for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id))
                members.push_back({.id = peer.id, .share = entries_.limitShareOf(now, peer.id)});
        }
        poolReports_->updateShares(now, ownShare_, std::move(members));
    }

    /** Answers VMs of the pool that lack a record of the current window. */
    void sendHistories(core::MonoTime now)
    {
        for (const PoolReports::Answer &answer : poolReports_->takeAnswers(now)) {
            for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id)) {
                if (peer.id == answer.receiver)
                    peers_.send(peer.peerAddress, answer.message);
            }
        }
    }

    void handleMessage(const PeerMessage &message)
    {
        const core::MonoTime now = core::MonoClock::now();
        liveness_.messageReceived(now, message.sender, message.leaving);
        if (message.leaving)
            entries_.leavingHeard(now, message.sender);
        if (message.leaving && message.history && !poolReports_)
            shares_.historyReported(now, message.sender, *message.history);
        for (const OutcomeReport &report : message.outcomes)
            upstreams_.peerOutcomeReported(now, report);
        for (const UpstreamLimitReport &report : message.limits)
            upstreams_.limitReported(now, report);
        // Records of senders that nobody has registered could grow without bound.
        if (message.sender != options_.self.id && entries_.contains(message.sender))
            zoneLoads_.receive(now, message);
        if (!entries_.isActive(options_.self.id)) {
            usageCoverage_.membershipObserved(now, false);
            return;
        }
        if (poolReports_) {
            poolReports_->receive(now, message);
            return;
        }
        for (const AccountUsage &usage : message.usage)
            shares_.usageReported(now, usage);
    }

    /** @return Whether a VM is leaving, or has sent messages before but none lately. */
    bool isSilentOrLeaving(const core::VmId &id) const
    {
        if (id == options_.self.id)
            return shutdownStartedAt_.has_value();
        return liveness_.isSilentOrLeaving(core::MonoClock::now(), id);
    }

    /** Sets the shares of the limits: this VM's own, and the pool's as the sum over its members
     * that still send messages. */
    void updateShares(core::MonoTime now)
    {
        // During shutdown, this VM keeps a part of its own share for the callers that still use its
        // address. It stops pooling its share with the others, which no longer send it usage
        // reports.
        if (shutdownStartedAt_) {
            handShareOver(now);
            if (poolReports_)
                updatePoolReports(now);
            updateUpstreamLimitShares(now, false);
            return;
        }
        ownShare_ = entries_.limitShareOf(now, options_.self.id);
        flow_.setFleetShare(ownShare_);
        double pool = ownShare_;
        const bool isActive = entries_.isActive(options_.self.id);
        usageCoverage_.membershipObserved(now, isActive);
        if (isActive && usageCoverage_.isComplete(now)) {
            for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id)) {
                if (liveness_.isReporting(now, peer.id))
                    pool += entries_.limitShareOf(now, peer.id);
            }
        }
        shares_.setShares(ownShare_, pool);
        shares_.setLeaving(entries_.leavingShares(now));
        if (poolReports_)
            updatePoolReports(now);
        updateUpstreamLimitShares(now, isActive);
        updateTrialVms(now);
    }

    /** Lowers the share of this VM, which is leaving, as the others take it over. */
    void handShareOver(core::MonoTime now)
    {
        const double kept =
            poolReports_ ? 1 : keptPart(now - *shutdownStartedAt_, options_.shutdown.serveFor);
        shares_.setShares(kept * ownShare_, kept * ownShare_);
    }

    /** Names the VMs that try the upstreams of this zone in turn: those that take callers and still
     * send messages. */
    void updateTrialVms(core::MonoTime now)
    {
        std::vector<core::VmId> peers;
        for (const EntryMember &peer : entries_.poolPeersOf(options_.self.id)) {
            if (peer.location.availabilityZone == options_.self.location.availabilityZone
                && liveness_.isReporting(now, peer.id))
                peers.push_back(peer.id);
        }
        upstreams_.setTrialVms(options_.self.id, std::move(peers));
    }

    /** Sets the shares of the limits that upstreams name.
     * @param isPooled Whether to count the shares of the pool's VMs that still send messages. */
    void updateUpstreamLimitShares(core::MonoTime now, bool isPooled)
    {
        std::vector<EntryMember> peers;
        if (isPooled)
            peers = entries_.poolPeersOf(options_.self.id);
        std::erase_if(
            peers, [&](const EntryMember &peer) { return !liveness_.isReporting(now, peer.id); });
        const double evenShare = 1 / static_cast<double>(std::max<std::size_t>(1, entries_.size()));
        const ColdShare cold = entries_.coldShareOf(options_.self.id, std::nullopt);
        upstreams_.setLimitShares(
            entries_.upstreamLimitShares(options_.regionOfZone, options_.self, peers),
            {.own = evenShare, .pool = evenShare, .cold = cold.share, .coldSaved = cold.saved});
    }

    static double toSeconds(core::Micros time)
    {
        return std::chrono::duration<double>(time).count();
    }

    void runMaintenance(core::MonoTime now)
    {
        updateShares(now);
        sync_.logConnectionChange(now);
        flow_.closeStaleConnections(now);
        callers_.closeStale(now);
        readiness_.closeStale(now);
        directoryServer_.closeStale(now);
        internalServer_.closeStale(now);
        flow_.updateHedgeShare(now);
        registry_.setGauge("teaselreach_waiting_requests", {},
                           static_cast<double>(flow_.waiting()));
        registry_.setGauge("teaselreach_log_lines_dropped", {},
                           static_cast<double>(core::droppedLogLines()));
        registry_.setGauge("teaselreach_task_failures", {},
                           static_cast<double>(core::taskFailures()));
        registry_.setGauge("teaselreach_caller_connections", {},
                           static_cast<double>(callers_.size()));
        if (options_.flow.bodies)
            registry_.setGauge("teaselreach_body_bytes", {},
                               static_cast<double>(options_.flow.bodies->taken()));
        registry_.setGauge("teaselreach_limit_part", {}, shares_.effectiveShare());
        if (poolReports_) {
            registry_.setGauge("teaselreach_paced_accounts", {},
                               static_cast<double>(shares_.paced()->pacedAccounts()));
            registry_.setGauge("teaselreach_pooled_vms", {},
                               static_cast<double>(poolReports_->pooledVms()));
            registry_.setGauge("teaselreach_usage_reports_rejected", {},
                               static_cast<double>(poolReports_->rejected()));
        }
        zoneLoads_.publishMetrics(registry_);
        registry_.setGauge("teaselreach_members", {}, static_cast<double>(entries_.size()));
        registry_.setGauge("teaselreach_evacuated_zones", {},
                           static_cast<double>(upstreams_.evacuations().zones().size()));
        registry_.setGauge("teaselreach_limited_upstreams", {},
                           static_cast<double>(upstreams_.limitedCount()));
        registry_.setGauge("teaselreach_store_read_age_seconds", {},
                           toSeconds(sync_.contact().readAge(now)));
        registry_.setGauge("teaselreach_store_response_age_seconds", {},
                           toSeconds(sync_.contact().responseAge(now)));
        registry_.setGauge("teaselreach_store_era", {}, static_cast<double>(sync_.era().count()));
        if (flow_.table())
            registry_.setGauge("teaselreach_config_version", {},
                               static_cast<double>(flow_.table()->configuration().version.count()));
    }

    /** Refuses new requests after ShutdownOptions::serveFor, stops to accept connections once none
     * is pending, and ends the process once all connections are closed, or at endAfter. */
    void continueShutdown(core::Micros elapsed)
    {
        const ShutdownOptions &times = options_.shutdown;
        if (elapsed >= times.serveFor && flow_.phase() == core::Phase::Leaving)
            flow_.enterPhase(core::Phase::Refusing);
        if (flow_.phase() == core::Phase::Refusing) {
            if (callers_.pending() == 0)
                callers_.stopAccepting();
            callers_.closeIdle(core::MonoClock::now());
        }
        if (elapsed >= times.endAfter - times.finalResponseMargin)
            flow_.abandonAttempts();
        const bool done = flow_.phase() == core::Phase::Refusing && callers_.pending() == 0
            && callers_.size() == 0;
        if (!done && elapsed < times.endAfter)
            return;
        core::logEvent(core::LogLevel::Info, "daemon_stopped",
                       {{"vm", options_.self.id.str()},
                        {"after_ms", std::chrono::duration_cast<core::Millis>(elapsed).count()},
                        {"connections", static_cast<std::int64_t>(callers_.size())},
                        {"pending", static_cast<std::int64_t>(callers_.pending())}});
        context_.stop();
    }

    asio::io_context &context_;
    Directory &directory_;
    LoopDaemonOptions options_;
    metrics::Registry registry_;
    UpstreamTable upstreams_;
    ZoneLoadExchange zoneLoads_ {upstreams_};
    AccountRateLimiter shares_;
    PoolUsageCoverage usageCoverage_;
    std::optional<PoolReports> poolReports_;         ///< Set if accounts are paced.
    std::shared_ptr<const RouteTable> limitedTable_; ///< Its accounts are set in the limiter.
    EntryVmSelector entries_;
    PeerLiveness liveness_;
    Standstill standstill_ {longestStandstill};
    RequestFlow flow_;
    FleetState state_;
    FleetSync<Store> sync_;
    PeerMessenger peers_;
    CallerServer callers_;
    CallerServer readiness_;
    CallerServer directoryServer_;
    FleetRelay relay_;
    CallerServer internalServer_;
    std::optional<core::MonoTime> shutdownStartedAt_;
    core::MonoTime messageSentAt_ {};
    core::MonoTime poolMessageSentAt_ {};
    double ownShare_ = 0;
    bool handsOver_ = false; ///< This VM leaves and tells the others what it has admitted.
};

} // namespace teaselreach::proxy
