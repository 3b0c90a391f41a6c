/** @file execution_evidence.cpp What is known about whether a request has been executed. */
#include "proxy/execution_evidence_base.h"

#include <utility>

namespace teaselreach::proxy {

std::string_view executionProofName(ExecutionProof proof)
{
    switch (proof) {
    case ExecutionProof::NothingSent:
        return "nothing_sent";
    case ExecutionProof::RefusedUpstream:
        return "refused_by_upstream";
    case ExecutionProof::None:
        return "none";
    }
    return "none";
}

void ExecutionEvidence::attemptEnded(AttemptMark &mark, const AttemptVerdict &verdict)
{
    if (!std::exchange(mark.undecided_, false) || !certainlyNotExecuted(verdict.end))
        return;
    --undecided_;
    if (verdict.end == AttemptEnd::NotSent)
        return;
    refused_ = true;
    refusal_ = verdict;
}

ExecutionProof ExecutionEvidence::proof() const
{
    if (mayHaveExecuted())
        return ExecutionProof::None;
    return refused_ ? ExecutionProof::RefusedUpstream : ExecutionProof::NothingSent;
}

} // namespace teaselreach::proxy
