/** @file http_vm_list_base.h HTTP client of the platform's VM list (design, section 3.5). */
#pragma once

#include "store/http_pool_base.h"
#include "vmlist/vm_list_type.h"

#include <mutex>
#include <string>
#include <vector>

namespace teaselreach::vmlist {

/** Endpoints and timeouts of HttpVmList. */
struct HttpVmListOptions
{
    /** Base URLs without a trailing slash, tried in order from the last one that answered. */
    std::vector<std::string> endpoints;
    core::Millis connectTimeout {500};
    core::Millis requestTimeout {2000}; ///< Timeout of the request to each endpoint.
};

/** HTTP client of the VM list; thread-safe. Models VmListSource. */
class HttpVmList
{
public:
    /**
     * @param options Endpoints and timeouts.
     * @throws std::invalid_argument if no endpoint is given.
     */
    explicit HttpVmList(HttpVmListOptions options);

    /**
     * Requests the list from the endpoints until one returns a valid list.
     * @return Entry VMs and upstreams in the order of the list.
     * @throws VmListUnavailable if no endpoint returned a valid list.
     */
    core::VmList read();

private:
    HttpVmListOptions options_;
    std::mutex lastMutex_;
    core::VmList last_; ///< As last parsed.
    store::EndpointList endpoints_;
    store::HttpPool pool_;
};

static_assert(VmListSource<HttpVmList>);

/**
 * Parses the list. An invalid entry does not hide the others. It stands for the VM of its id as
 * last listed, so that the VM does not look removed; without an id that was listed before, it may
 * stand for any VM, and all VMs that are missing are kept.
 * @param text The JSON document.
 * @param last The list as last parsed.
 * @return Entry VMs and upstreams: those of the document in its order, then those that were kept.
 * @throws VmListUnavailable if the document is not a list of VMs, or if none of its entries is
 *     valid.
 */
core::VmList parseVmList(const std::string &text, const core::VmList &last = {});

} // namespace teaselreach::vmlist
