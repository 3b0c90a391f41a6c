/** @file placement_query.cpp Questions of operators where a request would go now. */
#include "proxy/placement_query_func.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>

namespace teaselreach::proxy {

namespace {

using nlohmann::json;

/** Largest size of a body that a question may name, in bytes. */
constexpr std::size_t maxQueryBytes = std::size_t {1} << 40;

std::optional<int> hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

/** @return The text without percent-encoding, or nothing if it is malformed. */
std::optional<std::string> decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        const auto high = hexDigit(text[i + 1]);
        const auto low = hexDigit(text[i + 2]);
        if (!high || !low)
            return std::nullopt;
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
    }
    return decoded;
}

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-._~/";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isPlain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
            || (c >= 'A' && c <= 'Z') || plain.find(c) != std::string_view::npos;
        if (isPlain)
            encoded += c;
        else
            encoded.append({'%', digits[byte / 16], digits[byte % 16]});
    }
    return encoded;
}

using Parameters = std::map<std::string, std::string, std::less<>>;

/** @return The parameters of a target, or the first that is malformed or repeated. */
std::variant<Parameters, PlacementQueryError> splitParameters(std::string_view target)
{
    Parameters parameters;
    const std::size_t question = target.find('?');
    std::string_view rest =
        question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const std::string name(item.substr(0, equals));
        if (equals == std::string_view::npos)
            return PlacementQueryError {name, "has no value"};
        const auto value = decodePercent(item.substr(equals + 1));
        if (!value)
            return PlacementQueryError {name, "is not percent-encoded"};
        if (!parameters.emplace(name, *value).second)
            return PlacementQueryError {name, "is repeated"};
    }
    return parameters;
}

std::int64_t millisOf(core::Micros time)
{
    return std::chrono::duration_cast<core::Millis>(time).count();
}

json roomJson(const AccountRoom &room)
{
    if (!room.isLimited)
        return {{"limited", false}};
    if (room.isPaced)
        return {{"limited", true}, {"paced", true}};
    return {{"limited", true},
            {"counted", room.counted},
            {"allowed", room.allowed},
            {"retry_after_ms", millisOf(room.retryAfter)}};
}

json serviceJson(const ServiceAnswer &answer)
{
    const DispatchExplanation &dispatch = answer.dispatch;
    json candidates = json::array();
    for (const CandidateExplanation &candidate : dispatch.placement.candidates) {
        candidates.push_back({{"upstream", candidate.upstream.str()},
                              {"zone", candidate.zone.str()},
                              {"state", candidateReason(candidate)},
                              {"expected_ms", millisOf(candidate.expectedDuration)},
                              {"failure_estimate", candidate.failureEstimate},
                              {"expected_loss", candidate.expectedLoss},
                              {"trial", candidate.isTrial},
                              {"spilled", candidate.isSpilled}});
    }
    json result {{"service", answer.service.str()},
                 {"weight", answer.weight},
                 {"waiting", dispatch.waiting},
                 {"departures_per_second", dispatch.departuresPerSecond},
                 {"expected_wait_ms", millisOf(dispatch.expectedWait)},
                 {"retry_budget_left", dispatch.retryBudgetLeft},
                 {"hedge_after_ms", nullptr},
                 {"tie_width", dispatch.placement.tieWidth},
                 {"spilled_part", dispatch.placement.spilledPart},
                 {"candidates", std::move(candidates)}};
    if (dispatch.hedgeDelay > core::Micros(0))
        result["hedge_after_ms"] = millisOf(dispatch.hedgeDelay);
    if (dispatch.waiting > 0)
        result["decision"] = "queued";
    else if (dispatch.placement.selected)
        result["decision"] = "sent";
    else
        result["decision"] =
            dispatch.placement.failure == PlacementFailure::AllBusy ? "queued" : "refused";
    if (dispatch.placement.selected)
        result["upstream"] = dispatch.placement.selected->str();
    else
        result["reason"] = placementFailureName(dispatch.placement.failure);
    return result;
}

} // namespace

std::string_view queryRefusalName(QueryRefusal refusal)
{
    switch (refusal) {
    case QueryRefusal::NoConfiguration:
        return "no_configuration";
    case QueryRefusal::ShuttingDown:
        return "shutting_down";
    case QueryRefusal::UnknownRoute:
        return "unknown_route";
    case QueryRefusal::UnknownAccount:
        return "unknown_account";
    case QueryRefusal::BodyTooLong:
        return "body_too_long";
    case QueryRefusal::NoAllowedRegion:
        return "no_allowed_region";
    }
    return "unknown";
}

std::variant<PlacementQuery, PlacementQueryError> parsePlacementQuery(std::string_view target)
{
    auto split = splitParameters(target);
    if (auto *error = std::get_if<PlacementQueryError>(&split))
        return std::move(*error);
    PlacementQuery query {.method = "GET"};
    for (auto &[name, value] : std::get<Parameters>(split)) {
        if (name == "host") {
            query.host = std::move(value);
        } else if (name == "path") {
            query.path = std::move(value);
        } else if (name == "method") {
            query.method = std::move(value);
        } else if (name == "account") {
            query.account = core::ClientAccountId(std::move(value));
        } else if (name == "bytes") {
            const char *end = value.data() + value.size();
            const auto parsed = std::from_chars(value.data(), end, query.bodyBytes);
            if (parsed.ec != std::errc() || parsed.ptr != end || query.bodyBytes > maxQueryBytes)
                return PlacementQueryError {"bytes", "is no plausible number of bytes"};
        } else {
            return PlacementQueryError {name, "is unknown"};
        }
    }
    if (query.host.empty())
        return PlacementQueryError {"host", "is missing"};
    if (query.path.empty() || query.path.front() != '/')
        return PlacementQueryError {"path", "does not start with a slash"};
    if (query.method.empty())
        return PlacementQueryError {"method", "is empty"};
    return query;
}

std::string placementQueryTarget(std::string_view path, const PlacementQuery &query)
{
    std::string target(path);
    target += "?host=" + encodePercent(query.host) + "&path=" + encodePercent(query.path)
        + "&method=" + encodePercent(query.method) + "&bytes=" + std::to_string(query.bodyBytes);
    if (query.account)
        target += "&account=" + encodePercent(query.account->str());
    return target;
}

std::string placementAnswerJson(const PlacementAnswer &answer)
{
    json result {{"config_version", answer.configVersion}};
    if (answer.route) {
        result["route"] = {{"id", answer.route->id.str()},
                           {"idempotent", answer.route->idempotent},
                           {"max_attempts", answer.route->maxAttempts},
                           {"priority", answer.route->priority},
                           {"allowed_regions", answer.allowedRegions.text()}};
    }
    if (answer.room)
        result["account"] = roomJson(*answer.room);
    if (answer.refusal)
        result["refusal"] = queryRefusalName(*answer.refusal);
    json services = json::array();
    for (const ServiceAnswer &service : answer.services)
        services.push_back(serviceJson(service));
    result["services"] = std::move(services);
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string placementQueryErrorJson(const PlacementQueryError &error)
{
    return json {
        {"error", "invalid_parameter"}, {"parameter", error.parameter}, {"detail", error.detail}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace teaselreach::proxy
