/** @file gate_service_base.h One dispatch gate for each service. */
#pragma once

#include "daemon/collaborator_type.h"
#include "queue/dispatch_gate_base.h"

#include <map>
#include <memory>
#include <shared_mutex>

namespace teaselreach::daemon {

/** Gates by service; a gate is made when its service is first used. Models RequestGate. */
class GateService
{
public:
    /** Lets a request through or queues it. @param wake Called by any thread at the end of a wait.
     */
    GateState acquireSlot(const GateRequest &request, std::function<void(GateVerdict)> wake);
    /** Ends a wait. @return Whether the request waited; its wake is not called any more. */
    bool cancel(const core::ServiceId &service, queue::Ticket ticket);
    /** Ends a granted request. @param shed Whether an upstream shed it. */
    void releaseSlot(const core::ServiceId &service, bool shed);
    /** @param slots Slots of the service's upstreams that are in use. */
    void setSlots(const core::ServiceId &service, int slots);

private:
    queue::DispatchGate &gateOf(const core::ServiceId &service);

    std::shared_mutex mutex_;
    std::map<core::ServiceId, std::unique_ptr<queue::DispatchGate>> gates_;
};

static_assert(RequestGate<GateService>);

} // namespace teaselreach::daemon
