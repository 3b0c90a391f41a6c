/** @file feeds.cpp Services that update a daemon from the store, the VM list and peers. */
#include "core/log_func.h"
#include "daemon/feeds_base.h"

namespace teaselreach::daemon {

namespace {

/** @return The base URL of a platform service. */
std::string urlOf(const settings::ServiceEndpoint &endpoint)
{
    return "http://" + endpoint.address + ":" + std::to_string(endpoint.port);
}

store::HttpStoreOptions storeOptions(const settings::StoreSettings &settings)
{
    store::HttpStoreOptions options;
    for (const settings::ServiceEndpoint &endpoint : settings.endpoints)
        options.endpoints.push_back(urlOf(endpoint));
    options.requestTimeout = settings.timeout;
    return options;
}

vmlist::HttpVmListOptions vmListOptions(const settings::VmListSettings &settings)
{
    return {.endpoints = {urlOf(settings.endpoint)}, .requestTimeout = settings.timeout};
}

} // namespace

Feeds::Feeds(Parts parts)
    : parts_(std::move(parts))
    , store_(storeOptions(parts_.settings.store))
    , vmList_(vmListOptions(parts_.settings.vmList))
    , spread_(parts_.settings.vm.id, parts_.settings.vm.location, parts_.incarnation.count(),
              parts_.shared)
    , config_({.watchTimeout = parts_.settings.store.watchTimeout},
              {.spread = spread_,
               .store = store_,
               .directory = parts_.directory,
               .transport = parts_.transport,
               .listener =
                   [this](const auto &snapshot) {
                       parts_.onConfig(snapshot);
                       if (PeerService *peers = startedPeers_.load())
                           peers->pushToPeers();
                   }})
    , placement_(parts_.settings.vm.id, parts_.limits, store_)
    , peers_({.self = parts_.settings.vm.id, .incarnation = parts_.incarnation},
             {.lifecycle = parts_.lifecycle,
              .shared = parts_.shared,
              .spread = spread_,
              .config = config_,
              .limits = parts_.limits,
              .upstreams = parts_.upstreams,
              .directory = parts_.directory,
              .transport = parts_.transport})
    , vmListReader_(parts_.settings.vmList.pollInterval, [this] { readVmList(); })
{
    startedPeers_.store(&peers_);
}

Feeds::~Feeds()
{
    startedPeers_.store(nullptr);
    store_.cancelCalls();
}

/** Reads and applies the VM list; while it cannot be read, the last one stays active. */
void Feeds::readVmList()
{
    try {
        core::VmList list = vmList_.read();
        spread_.onVmList(list);
        peers_.onVmList(list);
        parts_.onVmList(std::move(list));
    } catch (const vmlist::VmListUnavailable &error) {
        core::logEvent(core::LogLevel::Warn, "vm_list_unavailable", {{"reason", error.what()}});
    }
}

} // namespace teaselreach::daemon
