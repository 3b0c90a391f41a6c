/** @file gate_service_base.h Manages one dispatch gate for each service. */
#pragma once

#include "daemon/collaborator_type.h"
#include "queue/dispatch_gate_base.h"

#include <map>
#include <memory>
#include <shared_mutex>

namespace teaselreach::daemon {

/** Dispatch gates by service, each created on first use. Models RequestGate. */
class GateService
{
public:
    /**
     * Grants the request a slot or queues it.
     * @param wake Called on any thread with the verdict if the request had to wait.
     */
    GateState acquireSlot(const GateRequest &request, std::function<void(GateVerdict)> wake);
    /** Ends a wait. @return Whether the request was queued; then `wake` is not called any more. */
    bool cancel(const core::ServiceId &service, queue::Ticket ticket);
    /** Releases the slot of a granted request. @param shed Whether an upstream shed it. */
    void releaseSlot(const core::ServiceId &service, bool shed);
    /** Takes a slot for a hedge if one is free now and no request waits. */
    queue::SlotResult tryAcquireSlot(const core::ServiceId &service);
    /** Releases the slot of a hedge. @param shed Whether an upstream shed the attempt. */
    void releaseHedgeSlot(const core::ServiceId &service, bool shed);
    /** Sets the capacity of a gate. @param slots Slots of the service's upstreams in use. */
    void setSlots(const core::ServiceId &service, int slots);

private:
    queue::DispatchGate &gateOf(const core::ServiceId &service);

    std::shared_mutex mutex_;
    std::map<core::ServiceId, std::unique_ptr<queue::DispatchGate>> gates_;
};

static_assert(RequestGate<GateService>);

} // namespace teaselreach::daemon
