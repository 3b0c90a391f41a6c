/** @file placement_service_base.h Maintains the placement of limit homes in the store. */
#pragma once

#include "core/ticker_base.h"
#include "daemon/limit_service_base.h"
#include "store/http_store_base.h"

#include <atomic>
#include <optional>

namespace teaselreach::daemon {

/**
 * Reads the placement, reassigns slots without a live owner, and hands over this VM's slots when it
 * leaves.
 */
class PlacementService
{
public:
    /** @param limits Applies the placement. @param store Holds it. Both must outlive the object. */
    PlacementService(core::VmId self, LimitService &limits, store::HttpStore &store);

    /**
     * Hands over this VM's slots once its loans have expired. The VM list must show this VM as
     * leaving, or the daemon must have stopped acting as home.
     * @return True if the slots were handed over or there were none.
     */
    bool handOver();

private:
    void refresh();
    void readStore();
    void writePlacement(const limit::Placement &next);

    core::VmId self_;
    LimitService &limits_;
    store::HttpStore &store_;
    std::mutex storeMutex_; ///< Allows one access to the store at a time.
    limit::Placement storedPlacement_;
    store::StoreVersion storedVersion_;
    std::optional<core::MonoTime> changeNeededSince_;
    core::Ticker ticker_; // Destroyed first: it uses the members above.
};

} // namespace teaselreach::daemon
