/** @file placement.cpp Asks a daemon where a request would go now. */
#include "http/client_base.h"
#include "proxy/placement_query_func.h"
#include "tool/output_func.h"
#include "tool/placement_func.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iomanip>
#include <sstream>

namespace teaselreach::tool {

namespace {

using nlohmann::json;

constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int jsonIndent = 2;

http::Target parseDaemon(const std::string &daemon)
{
    const std::size_t colon = daemon.rfind(':');
    http::Target target {.address = daemon.substr(0, colon)};
    const char *end = daemon.data() + daemon.size();
    const char *port = colon == std::string::npos ? end : daemon.data() + colon + 1;
    const auto parsed = std::from_chars(port, end, target.port);
    if (target.address.empty() || parsed.ec != std::errc() || parsed.ptr != end || target.port == 0)
        throw UsageError("--daemon is '" + daemon + "', expected ADDRESS:PORT");
    return target;
}

proxy::PlacementQuery queryOf(const ToolOptions &options, const std::vector<std::string> &words)
{
    if (words.size() < 2 || words.size() > 3)
        throw UsageError("expected 'explain placement HOST PATH [METHOD]'");
    proxy::PlacementQuery query {.host = words[0],
                                 .path = words[1],
                                 .method = words.size() > 2 ? words[2] : "GET",
                                 .bodyBytes = options.bodyBytes};
    if (!options.account.empty())
        query.account = core::ClientAccountId(options.account);
    return query;
}

/** @return The daemon's answer. */
json ask(const ToolOptions &options, const proxy::PlacementQuery &query)
{
    http::Client client({.connectTimeout = options.callTimeout});
    const http::Result result = client.send(
        parseDaemon(options.daemon), {.target = proxy::placementQueryTarget("/explain", query)},
        options.callTimeout);
    if (result.progress != http::Progress::Answered)
        throw DaemonUnreachable(options.daemon, result.detail);
    json answer = json::parse(result.body, nullptr, false);
    if (result.status == badRequestStatus && answer.is_object())
        throw UsageError(answer.value("parameter", "") + " " + answer.value("detail", ""));
    if (result.status != okStatus || !answer.is_object())
        throw DaemonAnswerUnusable(options.daemon, "status " + std::to_string(result.status));
    return answer;
}

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

void printRoom(std::ostream &out, const std::string &account, const json &room)
{
    out << "account " << account << ": ";
    if (!room.at("limited").get<bool>())
        out << "no limit\n";
    else if (room.value("paced", false))
        out << "paced\n";
    else
        out << room.at("counted") << " of " << room.at("allowed")
            << " requests in the window, room in " << room.at("retry_after_ms") << " ms\n";
}

void printService(std::ostream &out, const json &service)
{
    out << "service " << service.at("service").get<std::string>() << " (weight "
        << service.at("weight") << "): " << service.at("decision").get<std::string>();
    if (service.contains("upstream"))
        out << " to " << service.at("upstream").get<std::string>();
    else
        out << ", " << service.at("reason").get<std::string>();
    out << "; " << service.at("waiting") << " waiting, expected wait "
        << service.at("expected_wait_ms") << " ms; retry budget left "
        << fixed(service.at("retry_budget_left").get<double>(), 2) << "; hedge ";
    if (service.at("hedge_after_ms").is_null())
        out << "never\n";
    else
        out << "after " << service.at("hedge_after_ms") << " ms\n";
    std::vector<std::vector<std::string>> rows {
        {"upstream", "zone", "state", "expected_ms", "failure", "loss", "trial"}};
    for (const json &candidate : service.at("candidates")) {
        rows.push_back(
            {candidate.at("upstream").get<std::string>(), candidate.at("zone").get<std::string>(),
             candidate.at("state").get<std::string>(), candidate.at("expected_ms").dump(),
             fixed(candidate.at("failure_estimate").get<double>(), 3),
             fixed(candidate.at("expected_loss").get<double>(), 3),
             candidate.at("trial").get<bool>() ? "yes" : "no"});
    }
    printColumns(out, rows);
}

void printTable(std::ostream &out, const ToolOptions &options, const json &answer)
{
    const json &route = answer.at("route");
    out << "route " << route.at("id").get<std::string>() << ": "
        << (route.at("idempotent").get<bool>() ? "idempotent" : "not idempotent") << ", priority "
        << route.at("priority") << ", at most " << route.at("max_attempts") << " attempts, regions "
        << route.at("allowed_regions").get<std::string>() << "\n";
    if (answer.contains("account"))
        printRoom(out, options.account, answer.at("account"));
    for (const json &service : answer.at("services"))
        printService(out, service);
}

} // namespace

void explainPlacement(std::ostream &out, const ToolOptions &options,
                      const std::vector<std::string> &words)
{
    const proxy::PlacementQuery query = queryOf(options, words);
    const json answer = ask(options, query);
    const std::string refusal = answer.value("refusal", "");
    if (refusal == proxy::queryRefusalName(proxy::QueryRefusal::UnknownRoute))
        throw UnknownRoute(query.host + query.path);
    if (refusal == proxy::queryRefusalName(proxy::QueryRefusal::UnknownAccount))
        throw UnknownAccount(options.account);
    if (options.output == OutputFormat::Json) {
        out << answer.dump(jsonIndent) << "\n";
        return;
    }
    if (!refusal.empty()) {
        out << "refused: " << refusal << "\n";
        return;
    }
    try {
        printTable(out, options, answer);
    } catch (const json::exception &error) {
        throw DaemonAnswerUnusable(options.daemon, error.what());
    }
}

} // namespace teaselreach::tool
