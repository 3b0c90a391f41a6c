/** @file execution_evidence_base.h What is known about whether a request has been executed. */
#pragma once

#include "placement/placement_type.h"

namespace teaselreach::proxy {

/** Why it is certain that a request has not been executed and never will be. */
enum class ExecutionProof : std::uint8_t {
    NothingSent,     ///< No attempt has sent anything.
    RefusedUpstream, ///< Upstreams have refused each attempt that was sent.
    None,            ///< An attempt may have executed it.
};

/** @return The name of a proof in logs and metrics; these names do not change. */
std::string_view executionProofName(ExecutionProof proof);

/** The response by which an attempt ended. */
struct AttemptVerdict
{
    AttemptEnd end = AttemptEnd::Broken;
    int status = 0;            ///< 0 without a response.
    bool reused = false;       ///< Whether the connection had carried a request before.
    bool namesRequest = false; ///< Whether the response bears the id of the request.
};

/**
 * Collects, over all attempts of one request, whether it may have been executed. Responses that
 * promise the opposite rest on this alone. A request may have been executed from the moment an
 * attempt starts until a verdict rules that out, so an attempt without a verdict proves nothing.
 */
class ExecutionEvidence
{
public:
    /** An attempt is about to send the request. */
    void attemptStarted() { ++undecided_; }
    /** The last started attempt has ended. */
    void attemptEnded(const AttemptVerdict &verdict);

    /** @return The proof that the request has not been executed, or None. */
    ExecutionProof proof() const;
    /** @return Whether any attempt may have executed the request. */
    bool mayHaveExecuted() const { return undecided_ > 0; }
    /** @return The last refusal of an upstream; valid if the proof is RefusedUpstream. */
    const AttemptVerdict &refusal() const { return refusal_; }

private:
    int undecided_ = 0; ///< Attempts that may have executed the request.
    bool refused_ = false;
    AttemptVerdict refusal_;
};

} // namespace teaselreach::proxy
