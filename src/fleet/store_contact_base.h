/** @file store_contact_base.h What the calls of a VM show about its connection to the store. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/log_func.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace teaselreach::proxy {

/** An outage of the store as seen by one VM. */
struct StoreOutage
{
    core::Micros length {0}; ///< From the last evidence of the store to its next response.
    int failures = 0;        ///< Failed calls of any kind.
};

/**
 * Tracks responses and failures of all calls of one VM to the store, and how old its knowledge of
 * the store is. An outage starts with the first failed call, dated back to when that call was sent,
 * since a silent store shows only when a call times out. It ends with the next response to any
 * call. Uses no threads, sockets or clocks.
 */
class StoreContact
{
public:
    /** @param now Start of the VM; counts as a response. */
    explicit StoreContact(core::MonoTime now)
        : lastResponseAt_(now)
        , lastReadAt_(now)
        , connectedSince_(now)
    { }

    /** Records a failed call. @param sentAt Start of the call. */
    void callFailed(core::MonoTime now, core::MonoTime sentAt, const core::Error &error)
    {
        if (++failures_ > 1)
            return;
        outageStartedAt_ = std::max(sentAt, lastResponseAt_);
        core::logEvent(core::LogLevel::Warn, "store_lost",
                       {{"code", error.code()},
                        {"detail", error.what()},
                        {"call_ms", toMillis(now - sentAt)},
                        {"read_age_ms", toMillis(readAge(now))},
                        {"response_age_ms", toMillis(responseAge(now))}});
    }

    /** Records a response of the store to any call. @return The outage that it ends, if any. */
    std::optional<StoreOutage> responded(core::MonoTime now)
    {
        lastResponseAt_ = now;
        return endOutage(now);
    }

    /** Ends an outage, for example because a relay has responded. @return The outage, if any. */
    std::optional<StoreOutage> endOutage(core::MonoTime now)
    {
        if (failures_ == 0)
            return std::nullopt;
        const StoreOutage outage {.length = now - outageStartedAt_,
                                  .failures = std::exchange(failures_, 0)};
        connectedSince_ = now;
        core::logEvent(core::LogLevel::Info, "store_regained",
                       {{"failures", outage.failures},
                        {"lost_ms", toMillis(outage.length)},
                        {"read_age_ms", toMillis(readAge(now))}});
        return outage;
    }

    /** Records that all changes up to a response of the store or of a relay were applied. */
    void readApplied(core::MonoTime now) { lastReadAt_ = now; }

    /** @return Time since the last response whose changes were applied. */
    core::Micros readAge(core::MonoTime now) const { return now - lastReadAt_; }
    /** @return Time since the store's last response to any call. */
    core::Micros responseAge(core::MonoTime now) const { return now - lastResponseAt_; }
    /** @return Time since the start or the end of the last outage. */
    core::Micros connectedFor(core::MonoTime now) const { return now - connectedSince_; }
    /** @return Failed calls in the current outage; 0 if there is none. */
    int failures() const { return failures_; }

private:
    static std::int64_t toMillis(core::Micros time)
    {
        return std::chrono::duration_cast<core::Millis>(time).count();
    }

    core::MonoTime lastResponseAt_;
    core::MonoTime lastReadAt_;
    core::MonoTime connectedSince_;
    core::MonoTime outageStartedAt_ {};
    int failures_ = 0;
};

} // namespace teaselreach::proxy
