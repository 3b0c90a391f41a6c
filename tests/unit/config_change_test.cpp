/** @file config_change_test.cpp Tests of committing changes and of applying them in a daemon. */
#include "config/accept_func.h"
#include "config/config_state_base.h"
#include "config/fetch_func.h"
#include "standins/fake_store.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teaselreach;
using namespace teaselreach::config;
using record::EditOperation;
using record::makeEdit;
using standins::FakeStore;

namespace {

using Edits = std::vector<record::RecordEdit>;

Edits serviceEdit(const std::string &id, int slots, EditOperation operation = EditOperation::Put)
{
    return {makeEdit(operation,
                     record::Service {.id = core::ServiceId(id), .slotsPerUpstream = slots})};
}

AcceptOptions optionsFor(const std::string &id)
{
    return {.id = core::ChangeId(id)};
}

int slotsOf(FakeStore &store, const std::string &id)
{
    const auto records = unpackAll(readGroups(store, readHead(store).head));
    const auto found = record::findRecord(records, {record::RecordKind::Service, id});
    return found ? std::get<record::Service>(*found).slotsPerUpstream : 0;
}

/** @return The error code of a change; empty if it is accepted. */
std::string codeOf(FakeStore &store, const Edits &edits, const AcceptOptions &options)
{
    try {
        acceptChange(store, edits, options);
        return "";
    } catch (const core::Error &error) {
        return error.code();
    }
}

/** Applies the store's head and groups to a state. */
ApplyResult pull(FakeStore &store, ConfigState &state)
{
    const StoredHead head = readHead(store);
    state.observeHead(head.text, UpdateSource::Store);
    return state.apply(head.text, readGroups(store, head.head));
}

} // namespace

TEST_CASE("a change whose write loses its answer is accepted once and reported as accepted")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    store.beforePut = [&store] { store.loseAnswers = 1; };
    const auto result = acceptChange(store, serviceEdit("b", 2), optionsFor("c2"));
    CHECK(result.revision == core::Revision(2));
    CHECK(result.foundByReading);
    CHECK(readHead(store).head.revision == core::Revision(2));
}

TEST_CASE("a write that is lost before the store applies it is repeated after reading the head")
{
    FakeStore store;
    store.beforePut = [&store] { store.loseWrites = 1; };
    CHECK(acceptChange(store, serviceEdit("a", 1), optionsFor("c1")).revision == core::Revision(1));
    CHECK(readHead(store).head.changes.size() == 1);
}

TEST_CASE("an outage after a lost answer gives outcome_unknown; the id finds the change later")
{
    FakeStore store;
    store.beforePut = [&store] {
        store.loseAnswers = 1;
        store.outageAfterLoss = true;
    };
    CHECK(codeOf(store, serviceEdit("a", 1), optionsFor("c1")) == "outcome_unknown");
    store.outage = false;
    CHECK(acceptChange(store, serviceEdit("a", 1), optionsFor("c1")).revision == core::Revision(1));
}

TEST_CASE("an outage before the write of the head gives store_unavailable and accepts nothing")
{
    FakeStore store;
    store.outage = true;
    CHECK(codeOf(store, serviceEdit("a", 1), optionsFor("c1")) == "store_unavailable");
    store.outage = false;
    store.beforePut = [&store] { store.outage = true; };
    CHECK(codeOf(store, serviceEdit("a", 1), optionsFor("c1")) == "store_unavailable");
    store.outage = false;
    CHECK(readHead(store).head.revision == core::Revision(0));
}

TEST_CASE("concurrent changes of different records are merged, of the same record conflict")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    store.beforePut = [&store] { acceptChange(store, serviceEdit("b", 2), optionsFor("other")); };
    acceptChange(store, serviceEdit("a", 3), optionsFor("c2"));
    CHECK(slotsOf(store, "a") == 3);
    CHECK(slotsOf(store, "b") == 2);

    store.beforePut = [&store] { acceptChange(store, serviceEdit("a", 4), optionsFor("other2")); };
    try {
        acceptChange(store, serviceEdit("a", 5), optionsFor("c3"));
        FAIL("accepted");
    } catch (const ChangeConflict &conflict) {
        CHECK(conflict.mine().find("\"slots_per_upstream\":5") != std::string::npos);
        CHECK(conflict.theirs().find("\"slots_per_upstream\":4") != std::string::npos);
    }
    CHECK(slotsOf(store, "a") == 4);
}

TEST_CASE("an unknown outcome stays unknown once the head no longer lists changes of that time")
{
    FakeStore store;
    store.beforePut = [&store] {
        store.loseWrites = 1;
        store.beforePut = nullptr;
    };
    AcceptOptions options = optionsFor("c1");
    options.wait = [&store](core::Millis) {
        for (std::size_t i = 0; i < maxHeadChanges + 1; ++i)
            acceptChange(store, serviceEdit("b", 1), optionsFor("o" + std::to_string(i)));
    };
    CHECK(codeOf(store, serviceEdit("a", 1), options) == "outcome_unknown");
}

TEST_CASE("a store behind the fleet refuses changes until it is restored")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    const auto older = store.values;
    acceptChange(store, serviceEdit("a", 2), optionsFor("c2"));
    ConfigState state;
    pull(store, state);
    const StoredHead head = readHead(store);
    const GroupValues values = readGroups(store, head.head);

    store.values = older;
    CHECK(state.observeHead(readHead(store).text, UpdateSource::Store) == HeadComparison::Older);
    CHECK(state.storeBehind());
    AcceptOptions options = optionsFor("c3");
    options.fleetHead = state.activeHead();
    CHECK(codeOf(store, serviceEdit("b", 1), options) == "store_behind");
    // A head of the same revision with different content also counts as behind.
    acceptChange(store, serviceEdit("x", 1), optionsFor("blind"));
    CHECK(state.observeHead(readHead(store).text, UpdateSource::Store) == HeadComparison::Diverged);
    CHECK(codeOf(store, serviceEdit("b", 1), options) == "store_behind");

    CHECK(restoreStore(store, state.headText(), values));
    CHECK(state.observeHead(readHead(store).text, UpdateSource::Store) == HeadComparison::Active);
    CHECK_FALSE(state.storeBehind());
    CHECK(codeOf(store, serviceEdit("b", 1), options).empty());
    CHECK(slotsOf(store, "a") == 2);
    CHECK_FALSE(restoreStore(store, state.headText(), values));
}

TEST_CASE("a change in mode Check is validated but not written")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    AcceptOptions options = optionsFor("c2");
    options.mode = record::CommandMode::Check;
    const auto writes = store.writes;
    CHECK(codeOf(store, serviceEdit("a", 2), options).empty());
    CHECK(codeOf(store, serviceEdit("a", 0), options) == "invalid_records");
    CHECK(store.writes == writes);
}

TEST_CASE("a change is refused if a group has a record of an unknown schema version")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    StoredHead head = readHead(store);
    const std::string value =
        R"({"schema_version":1,"records":[{"kind":"service","id":"a","schema_version":9}]})";
    head.head.groups["services"] = core::sha256Hex(value);
    writeGroup(store, "services", value);
    store.put(headKey, headToText(head.head), head.version);
    CHECK(codeOf(store, serviceEdit("b", 1), optionsFor("c2")) == "unreadable_configuration");
}

TEST_CASE("a daemon applies only higher revisions whose groups match their digests")
{
    FakeStore store;
    acceptChange(store, serviceEdit("a", 1), optionsFor("c1"));
    const StoredHead first = readHead(store);
    const GroupValues firstValues = readGroups(store, first.head);
    acceptChange(store, serviceEdit("a", 2), optionsFor("c2"));
    const StoredHead second = readHead(store);
    ConfigState state;
    CHECK(state.apply("not a head", {}).outcome == ApplyOutcome::Unreadable);
    // A group value of the older revision must not be applied with the newer head.
    const auto wrong = state.apply(second.text, firstValues);
    CHECK(wrong.outcome == ApplyOutcome::GroupsNeeded);
    CHECK(wrong.needed == second.head.groups);
    CHECK(state.snapshot() == nullptr);
    CHECK(pull(store, state).outcome == ApplyOutcome::Applied);
    CHECK(state.observeHead(first.text, UpdateSource::Peer) == HeadComparison::Older);
    CHECK(state.apply(first.text, firstValues).outcome == ApplyOutcome::NotNewer);
    CHECK(state.activeHead().revision == core::Revision(2));
    CHECK(state.snapshot()->findService(core::ServiceId("a"))->slotsPerUpstream == 2);
}

TEST_CASE("groups fetched in several parts are staged until the revision is complete")
{
    FakeStore store;
    Edits edits = serviceEdit("a", 1);
    edits.push_back(makeEdit(EditOperation::Create,
                             record::Route {.id = core::RouteId("r"),
                                            .pathPrefix = "/r",
                                            .service = core::ServiceId("a")}));
    acceptChange(store, edits, optionsFor("c1"));
    ConfigState peer;
    pull(store, peer);
    ConfigState state;
    FetchRequest request;
    FetchAnswer answer =
        fetchAnswerFromJson(toJson(answerFetch(peer, fetchRequestFromJson(toJson(request)))));
    ApplyResult result = state.apply(answer.headText, answer.values);
    REQUIRE(result.outcome == ApplyOutcome::GroupsNeeded);
    REQUIRE(result.needed.size() == 2);
    for (int round = 0; round < 2; ++round)
        result = state.apply(answer.headText, peer.valuesFor(result.needed, 1));
    CHECK(result.outcome == ApplyOutcome::Applied);
    CHECK(state.activeHead() == peer.activeHead());
}

TEST_CASE("a record that cannot be parsed keeps its previous version; others are applied")
{
    ConfigState state;
    const std::string account = groupNameOf({record::RecordKind::ClientAccount, "a"}, "");
    const auto apply = [&](std::uint64_t revision, const std::string &records) {
        const std::string value = R"({"schema_version":1,"records":[)" + records + "]}";
        const std::string text = headToText(
            {.revision = core::Revision(revision), .groups = {{account, core::sha256Hex(value)}}});
        return state.apply(text, {{account, value}});
    };
    const std::string digest = core::sha256Hex("secret");
    const std::string tail = R"(,"account":"a","digest":")" + digest + R"("})";
    const std::string oldAccount = R"({"kind":"client_account","id":"a","schema_version":1},)";
    apply(1, oldAccount + R"({"kind":"key","id":"k","schema_version":1)" + tail);
    REQUIRE(state.snapshot()->findKey("secret") != nullptr);

    const auto result =
        apply(2,
              R"({"kind":"client_account","id":"a","schema_version":8},)"
                  + (R"({"kind":"key","id":"k","schema_version":1,"withdrawn":true)" + tail));
    CHECK(result.outcome == ApplyOutcome::Applied);
    REQUIRE(result.rejected.size() == 1);
    CHECK(state.snapshot()->findAccount(core::ClientAccountId("a")) != nullptr);
    CHECK(state.snapshot()->findKey("secret") == nullptr);
}

TEST_CASE("the withdrawal of a key takes effect even if its record cannot be parsed")
{
    ConfigState state;
    const std::string group = groupNameOf({record::RecordKind::Key, "k"}, "a");
    const auto apply = [&](std::uint64_t revision, const std::string &fields) {
        const std::string value = R"({"schema_version":1,"records":[{"kind":"key","id":"k",)"
            + fields + R"("account":"a","digest":")" + core::sha256Hex("secret") + R"("}]})";
        state.apply(headToText({.revision = core::Revision(revision),
                                .groups = {{group, core::sha256Hex(value)}}}),
                    {{group, value}});
    };
    apply(1, R"("schema_version":1,)");
    REQUIRE(state.snapshot()->findKey("secret") != nullptr);
    apply(2, R"("schema_version":2,"withdrawn":true,)");
    CHECK(state.snapshot()->findKey("secret") == nullptr);
}
