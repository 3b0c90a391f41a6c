/** @file digest_json.cpp The form in which evidence digests travel in peer.exchange. */
#include "upstream/digest_json_func.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace teaselreach::upstream {

namespace {

/** Weights are sent as whole hundredths, which MessagePack stores in one to three bytes. */
constexpr double weightScale = 100;
/** Largest weight accepted from a peer, far above what one VM observes in evidenceDecay. */
constexpr std::uint64_t maxScaledWeight = 100'000'000;

enum Element : std::size_t {
    Service,
    Upstream,
    Reporter,
    Zone,
    Incarnation,
    Sequence,
    AgeMillis,
    Good,
    Failed,
    Overdue,
    BadElsewhere,
    TrialsPassed,
    TrialsFailed,
    Drain,
    ElementCount,
};

std::uint64_t scaled(double weight)
{
    return static_cast<std::uint64_t>(std::llround(weight * weightScale));
}

std::string text(const nlohmann::json &json, Element element)
{
    const nlohmann::json &value = json[element];
    if (!value.is_string() || value.get_ref<const std::string &>().empty())
        throw InvalidDigest("element " + std::to_string(element) + " is not a non-empty string");
    return value.get<std::string>();
}

std::uint64_t number(const nlohmann::json &json, Element element, std::uint64_t most)
{
    const nlohmann::json &value = json[element];
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most)
        throw InvalidDigest("element " + std::to_string(element) + " is not a number up to "
                            + std::to_string(most));
    return value.get<std::uint64_t>();
}

double weight(const nlohmann::json &json, Element element)
{
    return static_cast<double>(number(json, element, maxScaledWeight)) / weightScale;
}

} // namespace

nlohmann::json digestToJson(const EvidenceDigest &digest)
{
    const auto age = std::chrono::duration_cast<core::Millis>(digest.age).count();
    return nlohmann::json::array(
        {digest.service.str(), digest.upstream.str(), digest.reporter.str(), digest.zone.str(),
         digest.incarnation.count(), digest.sequence, static_cast<std::uint64_t>(age),
         scaled(digest.counts.good), scaled(digest.counts.failed), scaled(digest.counts.overdue),
         scaled(digest.badElsewhere), scaled(digest.trialsPassed), scaled(digest.trialsFailed),
         static_cast<std::uint64_t>(digest.drain)});
}

EvidenceDigest digestFromJson(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < ElementCount)
        throw InvalidDigest("not an array of " + std::to_string(ElementCount) + " elements");
    const auto most = ~std::uint64_t {0};
    const auto maxAge = static_cast<std::uint64_t>(digestLifetime.count());
    return {.service = core::ServiceId(text(json, Service)),
            .upstream = core::UpstreamId(text(json, Upstream)),
            .reporter = core::VmId(text(json, Reporter)),
            .zone = core::AvailabilityZoneId(text(json, Zone)),
            .incarnation = core::Incarnation(number(json, Incarnation, most)),
            .sequence = number(json, Sequence, most),
            .age = core::Millis(number(json, AgeMillis, maxAge)),
            .counts = {.good = weight(json, Good),
                       .failed = weight(json, Failed),
                       .overdue = weight(json, Overdue)},
            .badElsewhere = weight(json, BadElsewhere),
            .trialsPassed = weight(json, TrialsPassed),
            .trialsFailed = weight(json, TrialsFailed),
            .drain = static_cast<DrainState>(number(json, Drain, 2))};
}

} // namespace teaselreach::upstream
