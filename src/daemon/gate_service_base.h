/** @file gate_service_base.h One dispatch gate for each service. */
#pragma once

#include "daemon/collaborator_type.h"
#include "queue/dispatch_gate_base.h"

#include <map>
#include <memory>
#include <shared_mutex>

namespace teaselreach::daemon {

/** Gates by service; a gate is made when its service is first used. Models DispatchGate. */
class GateService
{
public:
    /** Waits for the request's turn. */
    GateVerdict enter(const GateRequest &request);
    /** Ends a granted request. @param shed Whether an upstream shed it. */
    void leave(const core::ServiceId &service, bool shed);
    /** @param slots Slots of the service's upstreams that are in use. */
    void setSlots(const core::ServiceId &service, int slots);

private:
    queue::DispatchGate &gateOf(const core::ServiceId &service);

    std::shared_mutex mutex_;
    std::map<core::ServiceId, std::unique_ptr<queue::DispatchGate>> gates_;
};

static_assert(DispatchGate<GateService>);

} // namespace teaselreach::daemon
