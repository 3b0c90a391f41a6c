/** @file record_test.cpp Tests of the JSON form, validation and edits of records. */
#include "record/record_edit_func.h"
#include "record/record_json_func.h"
#include "record/record_validate_func.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teaselreach;
using namespace teaselreach::record;
using nlohmann::json;

namespace {

RecordSet makeRecords()
{
    RecordSet records;
    records.services = {{.id = core::ServiceId("slots")}};
    records.routes = {{.id = core::RouteId("book"),
                       .pathPrefix = "/bookings",
                       .methods = {"POST"},
                       .service = core::ServiceId("slots"),
                       .routeClass = RouteClass::Urgent}};
    records.accounts = {{.id = core::ClientAccountId("bakery"),
                         .displayName = "Bakery",
                         .routes = {core::RouteId("book")}}};
    records.keys = {{.id = core::KeyId("k1"),
                     .account = core::ClientAccountId("bakery"),
                     .digest = std::string(64, 'a')}};
    records.limits = {
        {.account = core::ClientAccountId("bakery"), .ratePerSecond = 2, .burst = 4, .homes = 1}};
    records.objectives = {{.id = core::ObjectiveId("o"), .service = core::ServiceId("slots")}};
    return records;
}

/** @return The problems that the edits are rejected with; empty if they are valid. */
std::vector<RecordProblem> problemsOf(RecordSet records, const std::vector<RecordEdit> &edits)
{
    const RecordSet before = records;
    try {
        editRecords(records, edits, CommandMode::Check);
    } catch (const InvalidRecords &error) {
        CHECK(records == before);
        return error.problems();
    }
    CHECK(records == before);
    return {};
}

RecordEdit withdrawEdit(RecordKind kind, const std::string &id)
{
    return {EditOperation::Withdraw, {kind, id}, {}};
}

} // namespace

TEST_CASE("records of every kind round-trip through JSON unchanged")
{
    const RecordSet records = makeRecords();
    forEachRecord(records, [](const auto &record) {
        CHECK(fromJson(json::parse(toJson(AnyRecord(record)).dump())) == AnyRecord(record));
    });
}

TEST_CASE("older schema versions are upgraded to the newest when read")
{
    const auto route = std::get<Route>(fromJson(json::parse(
        R"({"kind":"route","id":"r","schema_version":1,"path_prefix":"/a","service":"s",
            "retry":true})")));
    CHECK(route.idempotent);
    CHECK(route.routeClass == RouteClass::Normal);
    const auto limit = std::get<Limit>(fromJson(json::parse(
        R"({"kind":"limit","id":"a","schema_version":1,"per_minute":120,"burst":50})")));
    CHECK(limit.ratePerSecond == doctest::Approx(2));
    CHECK(limit.homes == 3);
}

TEST_CASE("an unknown schema version is rejected, not read as another version")
{
    for (const int version : {0, 3, 99}) {
        const json route {{"kind", "route"}, {"id", "r"}, {"schema_version", version}};
        CHECK_THROWS_AS(fromJson(route), UnknownSchemaVersion);
    }
}

TEST_CASE("a malformed stored record is rejected with the field and the expected value")
{
    struct MalformedRecord
    {
        const char *text;
        const char *field;
    };
    const std::vector<MalformedRecord> malformedRecords {
        {R"([])", "record"},
        {R"({"kind":"rout","id":"r","schema_version":1})", "kind"},
        {R"({"kind":"route","schema_version":2})", "id"},
        {R"({"kind":"route","id":"r"})", "schema_version"},
        {R"({"kind":"service","id":"s","schema_version":1,"flor":0.5})", "flor"},
        {R"({"kind":"service","id":"s","schema_version":1,"floor":"0.5"})", "floor"},
        {R"({"kind":"service","id":"s","schema_version":1,"slots_per_upstream":1e99})",
         "slots_per_upstream"},
        {R"({"kind":"route","id":"r","schema_version":2,"path_prefix":"/","service":"s",
             "class":"fast"})",
         "class"},
        {R"({"kind":"route","id":"r","schema_version":1,"path_prefix":"/","service":"s",
             "retry":1})",
         "retry"},
        {R"({"kind":"limit","id":"a","schema_version":1,"burst":3})", "per_minute"},
    };
    for (const MalformedRecord &malformed : malformedRecords) {
        CAPTURE(malformed.text);
        try {
            fromJson(json::parse(malformed.text));
            FAIL("the invalid record was accepted");
        } catch (const InvalidRecords &error) {
            REQUIRE(error.problems().size() == 1);
            CHECK(error.problems()[0].field == malformed.field);
            CHECK(!error.problems()[0].expected.empty());
        }
    }
}

TEST_CASE("records with a value out of range are rejected")
{
    const RecordSet valid = makeRecords();
    REQUIRE(validateRecordSet(valid).empty());
    const auto hasOneProblem = [&valid](auto &&modify) {
        RecordSet records = valid;
        modify(records);
        return validateRecordSet(records).size() == 1;
    };
    CHECK(hasOneProblem([](RecordSet &r) { r.accounts[0].weight = 0; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.keys[0].digest = "secret"; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.routes[0].pathPrefix = "bookings"; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.routes[0].pathPrefix = "/.teaselreach/entry"; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.routes[0].methods = {"post"}; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.limits[0].ratePerSecond = 0; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.limits[0].burst = std::stod("nan"); }));
    CHECK(hasOneProblem([](RecordSet &r) { r.limits[0].homes = 4; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.services[0].floor = 1.1; }));
    CHECK(hasOneProblem([](RecordSet &r) { r.objectives[0].target = 1; }));
}

TEST_CASE("references to missing records and routes with the same prefix are rejected")
{
    const RecordSet records = makeRecords();
    CHECK(problemsOf(records, {withdrawEdit(RecordKind::Service, "slots")}).size() == 2);
    CHECK(problemsOf(records, {withdrawEdit(RecordKind::Route, "book")}).size() == 1);
    CHECK(problemsOf(records, {withdrawEdit(RecordKind::ClientAccount, "bakery")}).size() == 2);
    Route duplicate = records.routes[0];
    duplicate.id = core::RouteId("twin");
    CHECK(problemsOf(records, {makeEdit(EditOperation::Create, duplicate)}).size() == 1);
}

TEST_CASE("invalid edits change nothing, and a withdrawn key cannot be reinstated")
{
    RecordSet records = makeRecords();
    Limit limit = records.limits[0];
    limit.homes = 2;
    CHECK(problemsOf(records, {makeEdit(EditOperation::Change, limit)})[0].field == "homes");
    CHECK(problemsOf(records, {makeEdit(EditOperation::Create, records.keys[0])}).size() == 1);
    CHECK(problemsOf(records, {withdrawEdit(RecordKind::Key, "nobody")}).size() == 1);

    editRecords(records, {withdrawEdit(RecordKind::Key, "k1")}, CommandMode::Execute);
    CHECK(records.keys[0].withdrawn);
    Key reinstated = records.keys[0];
    reinstated.withdrawn = false;
    CHECK(problemsOf(records, {makeEdit(EditOperation::Put, reinstated)})[0].field == "withdrawn");
}
