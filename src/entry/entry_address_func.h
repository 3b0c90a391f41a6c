/** @file entry_address_func.h Chooses entry VMs for the callers of a client account. */
#pragma once

#include "core/vm_type.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace teaselreach::entry {

/** Input of chooseEntryAddresses(). */
struct EntryQuery
{
    core::ClientAccountId account;
    /** VMs with a share of the account's limit; they need no message to another VM per request. */
    std::vector<core::VmId> homes;
    std::optional<core::AvailabilityZoneId> callerZone;
    std::map<core::VmId, double> load; ///< From 0 (idle) to 1; 0 for VMs that are not listed.
    int count = 3;                     ///< Addresses requested; values below 2 count as 2.
};

/**
 * Chooses entry VMs for an account. Callers use the addresses in order and go to the next one when
 * one fails.
 * - Leaving VMs are excluded.
 * - Home VMs come first, then VMs of the caller's zone, then of its region. Otherwise the order is
 *   that of a weighted rendezvous hash by account, so that accounts share few VMs.
 * - VMs with a load of at least overloadThreshold come after all others.
 * - The result covers at least two availability zones if the live VMs do.
 * @param vms The current list of entry VMs.
 * @param query Account, caller's zone, loads and number of addresses.
 * @return As many VMs as requested, or all live VMs if there are fewer.
 */
std::vector<core::EntryVm> chooseEntryAddresses(std::span<const core::EntryVm> vms,
                                                const EntryQuery &query);

/** Load from which a VM is only chosen after all VMs below it. */
inline constexpr double overloadThreshold = 0.9;

} // namespace teaselreach::entry
