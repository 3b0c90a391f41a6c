/** @file pool_reports.cpp Reports that the VMs of a pool exchange to pace accounts. */
#include "core/log_func.h"
#include "fleet/pool_reports_base.h"

namespace teaselreach::proxy {

void PoolReports::updateShares(core::MonoTime now, double own, std::vector<PoolMember> members)
{
    memberIds_.clear();
    for (const PoolMember &member : members)
        memberIds_.push_back(member.id);
    if (members.empty())
        membership_.left();
    std::set<core::VmId> pooled = membership_.pooled(now, memberIds_, coverage_.isComplete(now));
    for (PoolMember &member : members)
        member.isPooled = pooled.contains(member.id);
    limiter_.setShares(now, own, members);
    if (pooled == pooled_)
        return;
    pooled_ = std::move(pooled);
    logPool(own);
}

void PoolReports::logPool(double own) const
{
    const auto percent = [](double share) { return static_cast<std::int64_t>(100 * share); };
    core::logEvent(core::LogLevel::Info, "limit_pool_changed",
                   {{"members", static_cast<std::int64_t>(memberIds_.size())},
                    {"pooled", static_cast<std::int64_t>(pooled_.size())},
                    {"own_pct", percent(own)},
                    {"pool_pct", percent(limiter_.effectiveShare())}});
}

void PoolReports::fill(core::MonoTime now, PeerMessage &message)
{
    message.usage = limiter_.takeUsage(now);
    message.view = membership_.view(now, memberIds_, coverage_.isComplete(now));
}

std::vector<PoolReports::Answer> PoolReports::takeAnswers(core::MonoTime now)
{
    std::vector<Answer> answers;
    const bool isComplete = coverage_.isComplete(now);
    for (const core::VmId &id : membership_.takeWaiting(now, memberIds_, isComplete)) {
        PeerMessage message {.sender = self_,
                             .view = membership_.view(now, memberIds_, isComplete),
                             .history = limiter_.historyFor(now, id)};
        core::logEvent(core::LogLevel::Info, "usage_history_sent",
                       {{"vm", id.str()},
                        {"accounts", static_cast<std::int64_t>(message.history->accounts.size())}});
        answers.push_back({.receiver = id, .message = std::move(message)});
    }
    return answers;
}

void PoolReports::receive(core::MonoTime now, const PeerMessage &message)
{
    if (message.sender == self_)
        return;
    if (message.view)
        membership_.heard(now, message.sender, *message.view);
    const bool isComplete = coverage_.isComplete(now);
    if (message.history && !isComplete) {
        const int rejected = limiter_.historyReported(now, message.sender, *message.history);
        rejected_ += static_cast<std::uint64_t>(rejected);
        membership_.answered(message.sender);
        core::logEvent(core::LogLevel::Info, "usage_history_received",
                       {{"vm", message.sender.str()},
                        {"accounts", static_cast<std::int64_t>(message.history->accounts.size())},
                        {"rejected", rejected}});
    }
    // Without a history, the sender's whole window would count as used at this moment.
    const bool hasRecord = isComplete || membership_.hasAnswered(message.sender);
    for (AccountUsage usage : message.usage) {
        usage.inWindow = hasRecord ? usage.inWindow : 0;
        rejected_ += limiter_.usageReported(now, message.sender, usage) ? 0 : 1;
    }
}

} // namespace teaselreach::proxy
