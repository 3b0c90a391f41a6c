/** @file placement_service.cpp Maintains the placement of limit homes in the store. */
#include "core/log_func.h"
#include "daemon/placement_service_base.h"

namespace teaselreach::daemon {

namespace {

/** Interval of reading the placement; 470 VMs cause 235 reads/s. */
constexpr core::Seconds refreshInterval {2};

const std::string storeKey(limit::placementKey);

} // namespace

PlacementService::PlacementService(core::VmId self, LimitService &limits, store::HttpStore &store)
    : self_(std::move(self))
    , limits_(limits)
    , store_(store)
    , ticker_(refreshInterval, [this] { refresh(); })
{ }

/** Reads the placement and writes the next one if a change has been needed for long enough. */
void PlacementService::refresh()
{
    const std::lock_guard lock(storeMutex_);
    try {
        readStore();
        const limit::VmHistory history = limits_.vmHistory();
        const auto next = limit::nextPlacement(storedPlacement_, history);
        if (!next) {
            changeNeededSince_.reset();
            return;
        }
        const core::MonoTime now = core::MonoClock::now();
        if (!changeNeededSince_)
            changeNeededSince_ = now;
        if (now - *changeNeededSince_ < limit::placementWriteDelay(history, self_))
            return;
        writePlacement(*next);
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "placement_not_refreshed",
                       {{"code", error.code()}, {"reason", error.what()}});
    }
}

bool PlacementService::handOver()
{
    const std::lock_guard lock(storeMutex_);
    if (limits_.actsAsHome() || core::MonoClock::now() < limits_.loansExpireAt())
        return false;
    try {
        readStore();
        const auto next =
            limit::placementAfterHandOver(storedPlacement_, limits_.vmHistory(), self_);
        if (!next)
            return true;
        writePlacement(*next);
        return true;
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "placement_not_handed_over",
                       {{"code", error.code()}, {"reason", error.what()}});
        return false;
    }
}

/** Reads the placement and applies it if its version has changed. */
void PlacementService::readStore()
{
    const auto stored = store_.get(storeKey);
    if (!stored) {
        storedPlacement_ = limit::Placement();
        storedVersion_ = store::StoreVersion();
        return;
    }
    if (stored->version == storedVersion_)
        return;
    storedPlacement_ = limit::decodePlacement(stored->value);
    storedVersion_ = stored->version;
    if (!limits_.onPlacement(std::make_shared<const limit::Placement>(storedPlacement_))) {
        core::logEvent(
            core::LogLevel::Error, "store_behind",
            {{"document", "placement"},
             {"revision", static_cast<std::int64_t>(storedPlacement_.revision.count())}});
    }
}

/** Writes a placement by compare-and-swap. @throws store::StoreConflict if another VM wrote it. */
void PlacementService::writePlacement(const limit::Placement &next)
{
    storedVersion_ = store_.put(storeKey, limit::encodePlacement(next), storedVersion_);
    storedPlacement_ = next;
    changeNeededSince_.reset();
    limits_.onPlacement(std::make_shared<const limit::Placement>(next));
    core::logEvent(core::LogLevel::Info, "placement_written",
                   {{"revision", static_cast<std::int64_t>(next.revision.count())}});
}

} // namespace teaselreach::daemon
