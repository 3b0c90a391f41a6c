/** @file upstream_behaviour_type.h Ways in which an upstream of the soak handles a request. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace teaselreach::soak {

/** One step of handling a request. Where nothing else is said, a response bears its id. */
enum class UpstreamStep : std::uint8_t {
    None,
    Run,  ///< The work on the request begins.
    Work, ///< Passes the usual, ten times the usual, or longer than any caller waits.
    LongWork,
    Stall,
    Hang,
    Answer,              ///< Success with seal and body.
    UnsealedAnswer,      ///< The same without the seal.
    CutAnswer,           ///< The same up to a byte at random; closes the connection.
    ContradictingAnswer, ///< Success with seal and the not-executed field.
    ServerError,         ///< 500.
    UnprovenRefusal,     ///< 503, 429 or 408 without the not-executed field.
    ChunkedRefusal,      ///< The same in chunks.
    TrailerRefusal,      ///< The same, with the not-executed field in the trailer section.
    InterimRefusal,      ///< 103 with the not-executed field.
    Refusal,             ///< 503 with the not-executed field.
    AnonymousRefusal,    ///< The same without an id.
    LateRefusal,         ///< The same after some milliseconds, whatever the connection does then.
    LateAnonymousRefusal,
    Close,
    Reset,
};

/** A named series of steps. */
struct UpstreamBehaviour
{
    std::string_view name;
    std::array<UpstreamStep, 4> steps;
};

namespace detail {
using S = UpstreamStep;
} // namespace detail

/** The proper behaviour of an upstream. */
inline constexpr UpstreamBehaviour properBehaviour {
    "proper", {detail::S::Run, detail::S::Work, detail::S::Answer}};

/** All others. No first response to a request that is run states in its head, with a status that
 * goes with it, that the request has not been run. */
inline constexpr std::array<UpstreamBehaviour, 24> upstreamFaults {{
    {"server error", {detail::S::Run, detail::S::Work, detail::S::ServerError}},
    {"slow", {detail::S::Run, detail::S::LongWork, detail::S::Answer}},
    {"hangs", {detail::S::Run, detail::S::Hang, detail::S::Answer}},
    {"runs late", {detail::S::Stall, detail::S::Run, detail::S::Work, detail::S::Answer}},
    {"unsealed", {detail::S::Run, detail::S::Work, detail::S::UnsealedAnswer}},
    {"cut answer", {detail::S::Run, detail::S::Work, detail::S::CutAnswer}},
    {"contradiction", {detail::S::Run, detail::S::Work, detail::S::ContradictingAnswer}},
    {"unproven refusal", {detail::S::Run, detail::S::Work, detail::S::UnprovenRefusal}},
    {"chunked refusal", {detail::S::Run, detail::S::Work, detail::S::ChunkedRefusal}},
    {"trailer refusal", {detail::S::Run, detail::S::Work, detail::S::TrailerRefusal}},
    {"interim refusal",
     {detail::S::InterimRefusal, detail::S::Run, detail::S::Work, detail::S::Answer}},
    {"sheds", {detail::S::Refusal}},
    {"sheds twice", {detail::S::Refusal, detail::S::Refusal}},
    {"sheds twice, late", {detail::S::Refusal, detail::S::LateRefusal}},
    {"sheds without id", {detail::S::AnonymousRefusal}},
    {"sheds twice without id", {detail::S::AnonymousRefusal, detail::S::AnonymousRefusal}},
    {"sheds twice without id, late",
     {detail::S::AnonymousRefusal, detail::S::LateAnonymousRefusal}},
    {"sheds and closes", {detail::S::Refusal, detail::S::Close}},
    {"refusal after answer",
     {detail::S::Run, detail::S::Work, detail::S::Answer, detail::S::LateRefusal}},
    {"refusal without id after answer",
     {detail::S::Run, detail::S::Work, detail::S::Answer, detail::S::LateAnonymousRefusal}},
    {"reset before the run", {detail::S::Reset}},
    {"reset while running", {detail::S::Run, detail::S::Work, detail::S::Reset}},
    {"closed before the run", {detail::S::Close}},
    {"closed while running", {detail::S::Run, detail::S::Work, detail::S::Close}},
}};

} // namespace teaselreach::soak
