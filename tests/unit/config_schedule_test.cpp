/** @file config_schedule_test.cpp Random sequences of changes and faults in virtual time. */
#include "config/accept_func.h"
#include "config/spread_policy_base.h"
#include "config/update_func.h"
#include "member/member_table_base.h"
#include "standins/fake_store.h"

#include <doctest/doctest.h>

#include <memory>

using namespace teaselreach;
using namespace teaselreach::config;

namespace {

using Model = std::map<std::string, int>; ///< Expected configuration: slots of each service.

Model modelOf(const record::RecordSet &records)
{
    Model model;
    for (const record::Service &service : records.services)
        model[service.id.str()] = service.slotsPerUpstream;
    return model;
}

/** The configuration and membership parts of a daemon. */
struct Vm
{
    ConfigState state;
    SpreadPolicy policy;
    member::MemberTable table;
    core::Revision highestSeen; ///< Highest active revision since the daemon started.
};

/** Runs a random sequence of events from a seed and calls check() after each event. */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random_(seed)
    {
        const int count = 3 + randomBelow(4);
        for (int i = 0; i < count; ++i)
            list_.push_back({.id = core::VmId(std::to_string(i)),
                             .address = std::to_string(i),
                             .location = {core::AvailabilityZoneId(i % 2 ? "a" : "b"),
                                          core::RegionId(i % 2 ? "r" : "s")}});
        vms_.resize(list_.size());
        for (int i = 0; i < count; ++i)
            replaceVm(i);
        store_.onHead = [this](const std::string &text) { checkNewHead(text); };
    }

    void run()
    {
        for (int event = 0; event < 100; ++event) {
            now_ += core::Millis(randomBelow(500));
            runEvent();
            check();
        }
        store_.deliverDelayed();
        for (int round = 0; round < 60; ++round) {
            now_ += core::Seconds(1);
            for (std::size_t i = 0; i < vms_.size(); ++i)
                tick(static_cast<int>(i));
        }
        check();
        checkConverged();
    }

private:
    /** RPC transport of one VM. A one-way cut loses either the request or the answer. */
    struct Link
    {
        Schedule &schedule;
        int from;

        nlohmann::json call(const rpc::Endpoint &to, const std::string &method,
                            const nlohmann::json &params, core::Millis)
        {
            const int target = std::stoi(to.address);
            if (schedule.cuts_.contains({from, target}))
                throw rpc::RpcNoResponse(method);
            nlohmann::json answer = schedule.serve(target, from, method, params);
            if (schedule.cuts_.contains({target, from}))
                throw rpc::RpcNoResponse(method);
            return answer;
        }
    };

    int randomBelow(int below)
    {
        return static_cast<int>(random_() % static_cast<unsigned>(below));
    }

    void runEvent()
    {
        const int vm = randomBelow(static_cast<int>(vms_.size()));
        const int other = randomBelow(static_cast<int>(vms_.size()));
        switch (randomBelow(18)) {
        case 0:
            store_.outage = randomBelow(2) == 0;
            return;
        case 1:
            cuts_.insert({vm, other});
            return;
        case 2:
            cuts_.erase({vm, other});
            return;
        case 3:
            storeCuts_.contains(vm) ? (void)storeCuts_.erase(vm) : (void)storeCuts_.insert(vm);
            return;
        case 4:
            replaceVm(vm);
            return;
        case 5:
            store_.deliverDelayed();
            return;
        case 6:
            delayedAnswer_ = fullAnswerOf(other);
            return;
        case 7:
            vmAt(vm).state.apply(delayedAnswer_.headText, delayedAnswer_.values);
            return;
        case 8:
        case 9:
        case 10:
            submitChange(true);
            return;
        default:
            tick(vm);
        }
    }

    /** @return A VM's complete configuration, to be delivered later as an outdated answer. */
    FetchAnswer fullAnswerOf(int i)
    {
        FetchAnswer answer = answerFetch(vmAt(i).state, {});
        if (!answer.headText.empty())
            answer.values =
                vmAt(i).state.valuesFor(headFromText(answer.headText).groups, maxFetchBytes);
        return answer;
    }

    /** Starts a new daemon on a VM, without a configuration. */
    void replaceVm(int i)
    {
        const core::EntryVm &vm = list_[static_cast<std::size_t>(i)];
        vms_[static_cast<std::size_t>(i)] = std::make_unique<Vm>(
            Vm {.policy = SpreadPolicy(vm.id, vm.location, {.watchersPerZone = 1}, now_),
                .table = member::MemberTable(vm.id, core::Incarnation(++incarnations_))});
        vmAt(i).policy.setVmList(list_);
        vmAt(i).table.setVmList(list_);
    }

    Vm &vmAt(int i) { return *vms_[static_cast<std::size_t>(i)]; }

    /** Submits a random change while the store may lose, delay or race its writes. */
    void submitChange(bool mayRace)
    {
        const std::string name = "s" + std::to_string(randomBelow(3));
        const core::ChangeId id("c" + std::to_string(++changes_));
        const int slots = 1 + randomBelow(1000);
        submitted_[id] = {name, slots};
        const bool restoreUp = !store_.outage;
        store_.loseAnswers = randomBelow(4) == 0 ? 1 + randomBelow(3) : 0;
        store_.delayWrites = randomBelow(6) == 0 ? 1 : 0;
        store_.outageAfterLoss = randomBelow(4) == 0;
        if (mayRace && randomBelow(3) == 0)
            store_.beforePut = [this] { submitChange(false); };
        const std::string code = tryAccept(id, name, slots);
        store_.loseAnswers = store_.delayWrites = 0;
        store_.beforePut = nullptr;
        if (restoreUp && store_.outageAfterLoss)
            store_.outage = false;
        if (code.empty())
            CHECK(accepted_.contains(id));
        else if (code != "outcome_unknown")
            refused_.insert(id);
        else if (randomBelow(2) == 0 && tryAccept(id, name, slots).empty())
            CHECK(accepted_.contains(id));
    }

    /** @return The error code of the change; empty if it is accepted. */
    std::string tryAccept(const core::ChangeId &id, const std::string &name, int slots)
    {
        try {
            acceptChange(store_,
                         {record::makeEdit(record::EditOperation::Put,
                                           record::Service {.id = core::ServiceId(name),
                                                            .slotsPerUpstream = slots})},
                         AcceptOptions {.id = id, .maxAttempts = 6});
            return "";
        } catch (const core::Error &error) {
            return error.code();
        }
    }

    /** Checks that a new head adds exactly its last change to the previous records. */
    void checkNewHead(const std::string &text)
    {
        const Head head = headFromText(text);
        const core::ChangeId id = head.changes.back().id;
        REQUIRE(head.revision.count() == history_.size() + 1);
        CHECK(accepted_.insert(id).second);
        model_[submitted_.at(id).first] = submitted_.at(id).second;
        GroupValues values;
        for (const auto &[name, digest] : head.groups)
            values[name] = store_.values.at(groupKey(name, digest)).value;
        CHECK(modelOf(unpackAll(values)) == model_);
        history_.emplace_back(core::sha256Hex(text), model_);
    }

    /** Handles a call in the target daemon. */
    nlohmann::json serve(int target, int from, const std::string &method,
                         const nlohmann::json &params)
    {
        Vm &vm = vmAt(target);
        if (method == "config.fetch")
            return toJson(answerFetch(vm.state, fetchRequestFromJson(params)));
        receiveMessage(target, params, now_);
        return makeMessageFor(target, from);
    }

    nlohmann::json makeMessageFor(int from, int to)
    {
        Vm &vm = vmAt(from);
        vm.table.setOwnState(core::VmState::Live, vm.state.activeHead().revision);
        member::MemberMessage message = vm.table.makeMessage(core::VmId(std::to_string(to)));
        if (const auto age = vm.policy.storeAge(now_))
            message.storeAge = std::chrono::duration_cast<core::Millis>(*age);
        CHECK(message.entries.size() <= member::maxEntries);
        return member::toJson(message);
    }

    void receiveMessage(int target, const nlohmann::json &json, core::MonoTime sent)
    {
        const auto message = member::memberMessageFromJson(json);
        vmAt(target).table.receive(message, now_);
        if (message.storeAge)
            vmAt(target).policy.notePeerContact(sent - *message.storeAge, message.sender.revision,
                                                vmAt(target).state.activeHead().revision);
    }

    void exchange(int from, const std::vector<core::VmId> &targets)
    {
        for (const core::VmId &target : targets) {
            const int to = std::stoi(target.str());
            try {
                receiveMessage(from,
                               Link {*this, from}.call({target.str()}, "peer.exchange",
                                                       makeMessageFor(from, to), {}),
                               now_);
            } catch (const rpc::RpcNoResponse &) { }
        }
    }

    /** Runs one exchange round of a daemon. */
    void tick(int i)
    {
        Vm &vm = vmAt(i);
        const core::Revision before = vm.state.activeHead().revision;
        vm.table.beginRound();
        exchange(i, vm.policy.exchangeTargets(random_));
        if (vm.policy.isWatcher() || vm.policy.pollDue(now_))
            readStore(i);
        for (const core::VmId &peer :
             vm.table.vmsWithHigherRevision(vm.state.activeHead().revision))
            fetchFrom(i, peer);
        if (vm.state.activeHead().revision > before)
            exchange(i, vm.policy.pushTargets(random_));
    }

    void readStore(int i)
    {
        Vm &vm = vmAt(i);
        const bool outage = store_.outage;
        store_.outage = outage || storeCuts_.contains(i);
        vm.policy.notePoll(now_, random_);
        try {
            updateFromStore([&vm](auto f) { return f(vm.state); }, store_, [] {});
            vm.policy.noteStoreContact(now_);
        } catch (const store::StoreUnavailable &) { }
        store_.outage = outage;
    }

    void fetchFrom(int i, const core::VmId &peer)
    {
        Vm &vm = vmAt(i);
        Link link {*this, i};
        try {
            updateFromPeer([&vm](auto f) { return f(vm.state); }, link, {peer.str()}, {});
        } catch (const rpc::RpcNoResponse &) { }
    }

    /**
     * Checks that active revisions never decrease and match the history, that refused changes were
     * not accepted and that the store has the last accepted head.
     */
    void check()
    {
        for (auto &vm : vms_) {
            const HeadId activeHead = vm->state.activeHead();
            REQUIRE(activeHead.revision >= vm->highestSeen);
            vm->highestSeen = activeHead.revision;
            if (activeHead.revision.count() == 0)
                continue;
            const auto &[digest, model] = history_.at(activeHead.revision.count() - 1);
            CHECK(activeHead.digest == digest);
            CHECK(modelOf(vm->state.snapshot()->records()) == model);
        }
        for (const core::ChangeId &id : refused_)
            CHECK(!accepted_.contains(id));
        if (!history_.empty())
            CHECK(core::sha256Hex(store_.values.at(headKey).value) == history_.back().first);
    }

    /**
     * Checks that every VM with access to the store, and every VM connected to an up-to-date VM,
     * has the last revision.
     */
    void checkConverged()
    {
        const auto holds = [this](int i) {
            return vmAt(i).state.activeHead().revision.count() == history_.size();
        };
        const int count = static_cast<int>(vms_.size());
        for (int i = 0; i < count; ++i) {
            if (!store_.outage && !storeCuts_.contains(i))
                CHECK(holds(i));
            for (int j = 0; j < count; ++j) {
                const bool connected = !cuts_.contains({i, j}) && !cuts_.contains({j, i});
                if (connected && holds(j))
                    CHECK(holds(i));
            }
        }
    }

    std::mt19937_64 random_;
    core::MonoTime now_ {};
    standins::FakeStore store_;
    std::vector<core::EntryVm> list_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::set<std::pair<int, int>> cuts_; ///< One-way network cuts: from, to.
    std::set<int> storeCuts_;            ///< VMs that cannot reach the store.
    FetchAnswer delayedAnswer_;          ///< Delivered by a later event, possibly several times.
    std::uint64_t incarnations_ = 0;
    int changes_ = 0;
    std::map<core::ChangeId, std::pair<std::string, int>> submitted_;
    std::set<core::ChangeId> accepted_;
    std::set<core::ChangeId> refused_;
    Model model_;
    std::vector<std::pair<std::string, Model>> history_; ///< Digest and model of each revision.
};

} // namespace

TEST_CASE("revisions never decrease, accepted changes apply exactly once, connected VMs converge")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        CAPTURE(seed);
        Schedule(seed).run();
    }
}
