/** @file vm_list_base.h Stand-in for the platform's VM list (design, section 3.5). */
#pragma once

#include "standins/server_base.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <string>

namespace teaselreach::standins {

/** Switchable faults of the list. */
struct VmListFaults
{
    bool outage = false; ///< Reads get status 503.
    /** Reads show the list as it was this long ago; the first list set is shown at once. */
    std::chrono::milliseconds lag {0};
};

/**
 * Serves a list set by `PUT /admin/vms` at `GET /vms`; `POST /admin/faults` takes outage and
 * lag_ms.
 */
class VmListServer
{
public:
    /** @param listen Where to listen. */
    explicit VmListServer(const ListenOptions &listen);

    /** @return The base URL. */
    std::string url() const { return server_.url(); }
    /** Replaces the list. @param document The JSON form with the member `vms`. */
    void setVms(const std::string &document);
    /** Replaces the faults in force. */
    void setFaults(const VmListFaults &faults);

private:
    using Clock = std::chrono::steady_clock;

    struct Published
    {
        Clock::time_point since;
        std::string document;
    };

    Answer handle(const Request &request);
    Answer visible() const;

    mutable std::mutex mutex_;
    VmListFaults faults_;
    std::deque<Published> history_;
    Server server_;
};

} // namespace teaselreach::standins
