/** @file http_vm_list_base.h Adapter to the platform's VM list over HTTP (design, section 3.5). */
#pragma once

#include "store/http_pool_base.h"
#include "vmlist/vm_list_type.h"

#include <string>
#include <vector>

namespace teaselreach::vmlist {

/** How the adapter reaches the list. */
struct HttpVmListOptions
{
    std::vector<std::string> endpoints; ///< Base URLs, tried in order, without a trailing slash.
    core::Millis connectTimeout {500};
    core::Millis requestTimeout {2000}; ///< For each endpoint.
};

/** Client of the VM list; may be used by several threads. Models VmListSource. */
class HttpVmList
{
public:
    /**
     * @param options Endpoints and timeouts.
     * @throws std::invalid_argument if no endpoint is given.
     */
    explicit HttpVmList(HttpVmListOptions options);

    /**
     * Reads the list.
     * @return Entry VMs and upstreams in the order of the list.
     * @throws VmListUnavailable if no endpoint gave a valid list.
     */
    core::VmList read();

private:
    HttpVmListOptions options_;
    store::EndpointList endpoints_;
    store::HttpPool pool_;
};

static_assert(VmListSource<HttpVmList>);

/**
 * Parses the JSON form of the list.
 * @param text The document.
 * @return Entry VMs and upstreams in the order of the document.
 * @throws VmListUnavailable if the document is not valid as a whole; a list without one of its VMs
 *     would look as if that VM were gone.
 */
core::VmList parseVmList(const std::string &text);

} // namespace teaselreach::vmlist
