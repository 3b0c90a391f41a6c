/** @file placement_explanation_type.h What a placement decision would be, and why. */
#pragma once

#include "placement/placement_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace teaselreach::proxy {

/** Why an upstream cannot get a request at all. */
enum class Exclusion : std::uint8_t {
    OtherRegion, ///< Outside the allowed regions.
    Evacuated,   ///< Its zone is evacuated.
    Draining,    ///< It takes no new requests.
    Tried,       ///< The request has been sent to it before.
    HoldingOff,  ///< It asked for no requests until a time.
    NamedLimit,  ///< The request rate that it names is used up.
    ColdLimit,   ///< Its cold-start limit is used up.
    ByteLimit,   ///< The body is longer than what it may hold.
    Full,        ///< It has as many requests as it may have at once.
};

/** Standing of an upstream in a placement decision. */
enum class CandidateState : std::uint8_t {
    Selected,
    Tied,     ///< Within the width of the random tie-break of the selected one.
    Worse,    ///< Another upstream has a lower expected loss.
    TooLate,  ///< Not expected to answer before the deadline.
    Excluded, ///< See CandidateExplanation::exclusion.
};

/** An upstream of the service and its standing. */
struct CandidateExplanation
{
    core::UpstreamId upstream;
    core::AvailabilityZoneId zone;
    core::Micros expectedDuration {0}; ///< Including queueing at the upstream.
    double failureEstimate = 0;        ///< Probability that the attempt fails, 0 to 1.
    /** Fraction of the request's full value. For a request assigned to another zone, less than the
     * loss from the distance, so that the zone is preferred. */
    double expectedLoss = 0;
    double agedLoss = 0;      ///< The same with the age of the last success, if that counts.
    bool hasFreeSlot = false; ///< Whether the request would not wait there.
    bool isSpilled = false;   ///< Whether the request is assigned to the upstream's zone.
    bool isTrial =
        false; ///< Whether it would get the request because it has not been tried lately.
    CandidateState state = CandidateState::Worse;
    std::optional<Exclusion> exclusion;
};

/** What the selection of an upstream would decide. */
struct PlacementExplanation
{
    std::vector<CandidateExplanation> candidates; ///< Nearest first.
    std::optional<core::UpstreamId> selected;
    PlacementFailure failure = PlacementFailure::NoUpstream; ///< Valid if none is selected.
    double tieWidth = 0; ///< Differences of the expected loss below it are decided at random.
    /** Part of the requests that is assigned to other zones, drawn for each request: the next one
     * may be assigned otherwise. */
    double spilledPart = 0;
};

/** @return The reason in words for operators, such as "draining"; these do not change. */
std::string_view candidateReason(const CandidateExplanation &candidate);

} // namespace teaselreach::proxy
