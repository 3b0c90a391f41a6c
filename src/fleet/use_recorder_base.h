/** @file use_recorder_base.h Decides when the use of accounts is written to the store. */
#pragma once

#include "core/clock_type.h"
#include "placement/restart_share_func.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>

namespace teaselreach::proxy {

/**
 * Keeps the record of the accounts whose use is not steady, and tells when the store needs it.
 *
 * The processes that replace killed ones read it, so that they do not grant again what was used
 * just before. Levels are rounded up to few steps, so that an account that reaches its limit takes
 * few writes. Uses no threads, sockets or clocks.
 */
class UseRecorder
{
public:
    /** What the store needs. */
    enum class Action : std::uint8_t {
        None,
        Write, ///< The record, as it is now.
        Renew, ///< The lease of the record that was written last.
    };

    /** Lifetime of a record whose VM has stopped: the process that replaces it reads the record
     * before, and needs it for a window of its own. */
    static constexpr core::Micros leaseTtl {core::Seconds(10)};

    /** @param window Length of the window of the rate limits. */
    explicit UseRecorder(core::Micros window)
        : window_(window)
    { }

    /** @param unsteady The accounts whose use is not steady now. @return What to do; the caller
     * does it, and reports a failure. */
    Action update(core::MonoTime now, const AccountUseRecord &unsteady)
    {
        for (const AccountUseLevel &use : unsteady)
            raise(now, use);
        std::erase_if(accounts_,
                      [&](const auto &entry) { return now - entry.second.at > window_; });
        if (now < earliestAt_)
            return Action::None;
        if (now - loweredAt_ >= renewInterval) {
            loweredAt_ = now;
            for (const AccountUseLevel &use : unsteady)
                accounts_[use.account].use = bounded(use);
            needsWrite_ = needsWrite_ || record() != written_;
        }
        if (needsWrite_ || (!accounts_.empty() && now - writtenAt_ >= renewInterval)) {
            const bool isChanged = needsWrite_ || record() != written_;
            needsWrite_ = false;
            writtenAt_ = now;
            earliestAt_ = now + minInterval;
            written_ = record();
            return isChanged ? Action::Write : Action::Renew;
        }
        return Action::None;
    }
    /** Records that an action failed; the record is written again after a pause. */
    void failed(core::MonoTime now)
    {
        rewrite();
        earliestAt_ = now + pauseAfterFailure;
    }
    /** Records that the store has lost what was written. */
    void rewrite() { needsWrite_ = !accounts_.empty(); }
    /** @return The accounts with their levels. */
    AccountUseRecord record() const
    {
        AccountUseRecord record;
        for (const auto &[account, entry] : accounts_)
            record.push_back(entry.use);
        return record;
    }

private:
    static constexpr core::Millis minInterval {200};
    static constexpr core::Seconds pauseAfterFailure {1};
    static constexpr core::Seconds renewInterval {4};

    struct Entry
    {
        AccountUseLevel use;  ///< Not below the use since the last time that it was lowered.
        core::MonoTime at {}; ///< When its use was last not steady.
    };

    /** @return Levels for the record, rounded up to few steps: what may be used until the next
     * write counts as used. */
    static AccountUseLevel bounded(const AccountUseLevel &use)
    {
        constexpr double partsUntilWrite = 0.5;
        constexpr double step = 0.1;
        const double lead = partsUntilWrite * use.levels.front();
        AccountUseLevel rounded {.account = use.account};
        for (std::size_t i = 0; i < use.levels.size(); ++i)
            rounded.levels.at(i) =
                std::min(1.0, step * std::ceil((use.levels.at(i) + lead) / step));
        return rounded;
    }

    void raise(core::MonoTime now, const AccountUseLevel &use)
    {
        Entry &entry = accounts_[use.account];
        entry.at = now;
        entry.use.account = use.account;
        const AccountUseLevel before = entry.use;
        raiseLevels(entry.use, bounded(use));
        needsWrite_ = needsWrite_ || entry.use != before;
    }

    core::Micros window_;
    std::map<core::ClientAccountId, Entry> accounts_;
    AccountUseRecord written_;
    bool needsWrite_ = false;
    core::MonoTime writtenAt_ {};
    core::MonoTime loweredAt_ {};  ///< When the levels last followed the use downwards.
    core::MonoTime earliestAt_ {}; ///< No action before.
};

} // namespace teaselreach::proxy
