/** @file placement_service_base.h Keeps the placement of limit homes up to date in the store. */
#pragma once

#include "core/ticker_base.h"
#include "daemon/limit_service_base.h"
#include "store/http_store_base.h"

#include <atomic>
#include <optional>

namespace teaselreach::daemon {

/** Reads the placement, gives slots without a live owner a new one, hands over on leaving. */
class PlacementService
{
public:
    /** @param limits Uses the placement; must outlive the object. @param store Holds it. */
    PlacementService(core::VmId self, LimitService &limits, store::HttpStore &store);

    /**
     * Hands this VM's slots over once its loans have expired. The VM list must show this VM as
     * leaving, or the daemon must not act as home any more.
     * @return Whether the slots are handed over, or there are none.
     */
    bool handOver();

private:
    void refresh();
    void readStore();
    void writePlacement(const limit::Placement &next);

    core::VmId self_;
    LimitService &limits_;
    store::HttpStore &store_;
    std::mutex storeMutex_; ///< One exchange with the store at a time.
    limit::Placement storedPlacement_;
    store::StoreVersion storedVersion_;
    std::optional<core::MonoTime> changeNeededSince_;
    core::Ticker ticker_; // Destroyed first: it uses all of the above.
};

} // namespace teaselreach::daemon
