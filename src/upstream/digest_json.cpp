/** @file digest_json.cpp JSON encoding of evidence digests in peer.exchange messages. */
#include "upstream/digest_json_func.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace teaselreach::upstream {

namespace {

/** Weights are encoded as integers in hundredths, which take one to three bytes in MessagePack. */
constexpr double weightScale = 100;
/**
 * Largest encoded weight accepted from a peer, far above what one VM observes in evidenceDecayTime.
 */
constexpr std::uint64_t maxScaledWeight = 100'000'000;

/** Positions of the array elements on the wire. */
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
    BadShareElsewhere,
    TrialsPassed,
    TrialsFailed,
    Drain,
    ElementCount,
};

std::uint64_t scaleWeight(double weight)
{
    return static_cast<std::uint64_t>(std::llround(weight * weightScale));
}

std::string readString(const nlohmann::json &json, Element element)
{
    const nlohmann::json &value = json[element];
    if (!value.is_string() || value.get_ref<const std::string &>().empty())
        throw InvalidDigest("element " + std::to_string(element) + " is not a non-empty string");
    return value.get<std::string>();
}

std::uint64_t readNumber(const nlohmann::json &json, Element element, std::uint64_t maximum)
{
    const nlohmann::json &value = json[element];
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
        throw InvalidDigest("element " + std::to_string(element)
                            + " is not an unsigned integer up to " + std::to_string(maximum));
    return value.get<std::uint64_t>();
}

double readWeight(const nlohmann::json &json, Element element)
{
    return static_cast<double>(readNumber(json, element, maxScaledWeight)) / weightScale;
}

} // namespace

nlohmann::json digestToJson(const EvidenceDigest &digest)
{
    const auto age = std::chrono::duration_cast<core::Millis>(digest.age).count();
    return nlohmann::json::array(
        {digest.service.str(), digest.upstream.str(), digest.reporter.str(), digest.zone.str(),
         digest.incarnation.count(), digest.sequence, static_cast<std::uint64_t>(age),
         scaleWeight(digest.counts.good), scaleWeight(digest.counts.failed),
         scaleWeight(digest.counts.overdue), scaleWeight(digest.badShareElsewhere),
         scaleWeight(digest.trialsPassed), scaleWeight(digest.trialsFailed),
         static_cast<std::uint64_t>(digest.drain)});
}

EvidenceDigest digestFromJson(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() < ElementCount)
        throw InvalidDigest("expected an array of at least " + std::to_string(ElementCount)
                            + " elements");
    const auto maximum = ~std::uint64_t {0};
    const auto maxAge = static_cast<std::uint64_t>(digestLifetime.count());
    return {.service = core::ServiceId(readString(json, Service)),
            .upstream = core::UpstreamId(readString(json, Upstream)),
            .reporter = core::VmId(readString(json, Reporter)),
            .zone = core::AvailabilityZoneId(readString(json, Zone)),
            .incarnation = core::Incarnation(readNumber(json, Incarnation, maximum)),
            .sequence = readNumber(json, Sequence, maximum),
            .age = core::Millis(readNumber(json, AgeMillis, maxAge)),
            .counts = {.good = readWeight(json, Good),
                       .failed = readWeight(json, Failed),
                       .overdue = readWeight(json, Overdue)},
            .badShareElsewhere = readWeight(json, BadShareElsewhere),
            .trialsPassed = readWeight(json, TrialsPassed),
            .trialsFailed = readWeight(json, TrialsFailed),
            .drain = static_cast<DrainState>(readNumber(json, Drain, 2))};
}

} // namespace teaselreach::upstream
