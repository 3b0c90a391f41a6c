/** @file entry_address_func.h Chooses the entry VMs that callers of a client account use. */
#pragma once

#include "core/vm_type.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace teaselreach::entry {

/** What the choice depends on. */
struct EntryQuery
{
    core::ClientAccountId account;
    std::vector<core::VmId> homes; ///< Home VMs of the account; they need no message per request.
    std::optional<core::AvailabilityZoneId> callerZone;
    std::map<core::VmId, double> load; ///< 0 (idle) to 1; VMs that are not named count as 0.
    int count = 3;                     ///< Addresses wanted.
};

/**
 * Chooses entry VMs for an account. Callers use the addresses in order, later ones when an
 * earlier one fails.
 * - Never a leaving VM.
 * - Homes come first, then the caller's zone and region, then the account's own order of VMs
 *   (rendezvous hash), so that two accounts share as few VMs as possible.
 * - A VM above overloadedAt comes after all others.
 * - The list has VMs of at least two availability zones if the fleet has them.
 * @param vms Entry VMs as last listed.
 * @return At most EntryQuery::count VMs; fewer only if fewer are live.
 */
std::vector<core::EntryVm> chooseEntryAddresses(std::span<const core::EntryVm> vms,
                                                const EntryQuery &query);

/** Load from which a VM is only used if nothing else is left. */
inline constexpr double overloadThreshold = 0.9;

} // namespace teaselreach::entry
