/** @file fleet_store_type.h Items, errors and concept of the store that holds the fleet's state. */
#pragma once

#include "core/error_type.h"
#include "placement/account_limit_type.h"
#include "placement/placement_type.h"
#include "proxy/asio_type.h"

#include <compare>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/** Number of times that the store has come back from a copy of its contents; 0 if it doesn't state
 * it. */
using StoreEra = core::StrongInt<struct StoreEraTag, std::uint64_t>;
/** Revision of the store's contents within one era; a higher one is newer. */
using StoreRevision = core::StrongInt<struct StoreRevisionTag, std::uint64_t>;
/** Id of a lease, within one era. */
using StoreLeaseId = core::StrongInt<struct StoreLeaseIdTag, std::uint64_t>;

/**
 * A point in the history of the store. After its return from a copy the store gives out the same
 * revisions again for other changes, so those of different eras do not compare.
 */
struct StorePosition
{
    StoreEra era;
    StoreRevision revision;

    bool operator==(const StorePosition &) const = default;
    std::partial_ordering operator<=>(const StorePosition &other) const
    {
        if (era != other.era)
            return std::partial_ordering::unordered;
        return revision <=> other.revision;
    }
};

/** A lease that the store has granted. In a later era its id may be that of another VM's lease. */
struct StoreLease
{
    StoreEra era;
    StoreLeaseId id;

    bool operator==(const StoreLease &) const = default;
};

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
    StorePosition position; ///< The next watch starts after it.
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

/** The changes after a revision are no longer available, or too many for one response; a full read
 * is needed. */
class StoreHistoryLost : public core::Error
{
public:
    StoreHistoryLost()
        : StoreHistoryLost("the changes after the requested revision are no longer available")
    { }
    /** @param what Cause. */
    explicit StoreHistoryLost(const std::string &what)
        : Error("store_history_lost", what)
    { }
};

/** The store has come back from a copy of its contents since the call's position or lease. */
class StoreRestored : public core::Error
{
public:
    StoreRestored()
        : Error("store_restored", "the store has come back from a copy of its contents")
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
 * A store client. era() is the latest era that any response has stated; a call that began in an
 * earlier one throws StoreRestored, and a response of an earlier one counts as none. All calls
 * throw StoreUnreachable; watch() also throws StoreHistoryLost, renewLease(), registerMember() and
 * the calls for account use also throw StoreLeaseLost. The decoders throw StoreValueMalformed.
 */
template <typename T>
concept FleetStore = requires(T &store, StorePosition after, core::Micros time, StoreLease lease,
                              const EntryMember &member, const AccountUseRecord &record,
                              const std::string &text)
{
    {
        store.era()
        } -> std::same_as<StoreEra>;
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
