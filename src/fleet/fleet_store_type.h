/** @file fleet_store_type.h Items, errors and concept of the store that holds the fleet's state. */
#pragma once

#include "core/error_type.h"
#include "placement/account_limit_type.h"
#include "placement/placement_type.h"
#include "proxy/asio_type.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** Revision of the store's contents; a higher one is newer. */
using StoreRevision = core::StrongInt<struct StoreRevisionTag, std::uint64_t>;
/** Id of a lease that the store has granted. */
using StoreLease = core::StrongInt<struct StoreLeaseTag, std::uint64_t>;

/** What an item of the store describes. Relays send the numeric values: new kinds are appended. */
enum class FleetItemKind : std::uint8_t {
    Configuration,
    Upstream,
    Member,
    Other,
    Evacuation, ///< Operators want no more traffic at the upstreams of a zone.
    AccountUse, ///< A VM's record of accounts, for processes that start; relays do not send it.
};

/** An item of the store, or its removal. */
struct FleetItem
{
    FleetItemKind kind = FleetItemKind::Other;
    std::string id; ///< Id of the upstream, the VM or the zone; empty for other kinds.
    StoreRevision revision;
    std::optional<std::string> value; ///< Not set if the item was removed.
};

/** A snapshot of the store, or the changes after a revision. */
struct FleetUpdate
{
    std::vector<FleetItem> items;
    StoreRevision revision; ///< The next watch starts after this revision.
    /** How long the relay that sent the update has been connected to the store without
     * interruption; 0 for an update that was read from the store itself. */
    core::Micros connectedFor {0};
};

/** The store sent no usable response. A write may have been carried out. */
class StoreUnreachable : public core::Error
{
public:
    /** @param what Call and cause. */
    explicit StoreUnreachable(const std::string &what)
        : Error("store_unreachable", what)
    { }
};

/** The changes after a revision are no longer available; a full read is needed. */
class StoreHistoryLost : public core::Error
{
public:
    StoreHistoryLost()
        : Error("store_history_lost",
                "the changes after the requested revision are no longer available")
    { }
};

/** The store no longer knows a lease, for example because it has expired. */
class StoreLeaseLost : public core::Error
{
public:
    StoreLeaseLost()
        : Error("store_lease_lost", "the store no longer knows the lease")
    { }
};

/** A value does not have the format that its key requires. */
class StoreValueMalformed : public core::Error
{
public:
    /** @param what Key and cause. */
    explicit StoreValueMalformed(const std::string &what)
        : Error("store_value_malformed", what)
    { }
};

/**
 * A store client. All calls throw StoreUnreachable; watch() also throws StoreHistoryLost,
 * renewLease(), registerMember() and the calls for account use also throw StoreLeaseLost. The
 * decoders throw StoreValueMalformed.
 */
template <typename T>
concept FleetStore = requires(T &store, StoreRevision after, core::Micros time, StoreLease lease,
                              const EntryMember &member, const AccountUseRecord &record,
                              const std::string &text)
{
    {
        store.readAll()
        } -> std::same_as<asio::awaitable<FleetUpdate>>;
    {
        store.watch(after, time)
        } -> std::same_as<asio::awaitable<FleetUpdate>>;
    {
        store.grantLease(time)
        } -> std::same_as<asio::awaitable<StoreLease>>;
    {
        store.renewLease(lease)
        } -> std::same_as<asio::awaitable<void>>;
    {
        store.registerMember(member, lease)
        } -> std::same_as<asio::awaitable<void>>;
    {
        store.removeMember(member.id)
        } -> std::same_as<asio::awaitable<void>>;
    {
        store.writeAccountUse(member.id, record, time)
        } -> std::same_as<asio::awaitable<void>>;
    {
        store.renewAccountUse()
        } -> std::same_as<asio::awaitable<void>>;
    {
        store.decodeConfiguration(text)
        } -> std::same_as<Configuration>;
    {
        store.decodeUpstream(text, text)
        } -> std::same_as<UpstreamEntry>;
    {
        store.decodeMember(text, text)
        } -> std::same_as<EntryMember>;
    {
        store.decodeAccountUse(text, text)
        } -> std::same_as<AccountUseRecord>;
};

} // namespace teaselreach::proxy
