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

/** Connects an attempt with its verdict. Attempts may run at the same time and end in any order. */
class AttemptMark
{
    friend class ExecutionEvidence;
    bool undecided_ = false;
};

/**
 * Collects, over all attempts of one request, whether it may have been executed. Responses that
 * promise the opposite rest on this alone. A request may have been executed from the moment an
 * attempt starts until a verdict rules that out, so an attempt without a verdict proves nothing.
 */
class ExecutionEvidence
{
public:
    /** An attempt is about to send the request. @param mark A new mark, kept with the attempt. */
    void attemptStarted(AttemptMark &mark)
    {
        mark.undecided_ = true;
        ++undecided_;
    }
    /** An attempt has ended. Has no effect if it has not started or already has a verdict: no
     * attempt is settled by the verdict on another. @param mark The mark of the attempt. */
    void attemptEnded(AttemptMark &mark, const AttemptVerdict &verdict);

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
