/** @file http_vm_list_base.h HTTP client of the platform's VM list (design, section 3.5). */
#pragma once

#include "store/http_pool_base.h"
#include "vmlist/vm_list_type.h"

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
    store::EndpointList endpoints_;
    store::HttpPool pool_;
};

static_assert(VmListSource<HttpVmList>);

/**
 * Parses the list.
 * @param text The JSON document.
 * @return Entry VMs and upstreams in the order of the document.
 * @throws VmListUnavailable if any part of the document is invalid. If an invalid VM were skipped,
 *     it would look as if it had been removed.
 */
core::VmList parseVmList(const std::string &text);

} // namespace teaselreach::vmlist
