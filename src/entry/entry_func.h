/** @file entry_func.h Which entry addresses a client account's callers should use. */
#pragma once

#include "core/vm_type.h"

#include <vector>

namespace teaselreach::entry {

/** Number of addresses returned if the fleet has as many live entry VMs. */
inline constexpr std::size_t addressCount = 3;

/**
 * Chooses live entry VMs, in different zones as far as the fleet has them. The order within a zone
 * is a rendezvous hash of the account, so that an account's callers meet on the same VMs.
 * @param vms The list of VMs as last read.
 * @param account The account whose callers ask.
 * @param preferredZone Zone whose VM comes first; empty for none.
 * @return Up to addressCount VMs, best first; never a leaving one.
 */
std::vector<core::EntryVm> chooseEntryAddresses(const core::VmList &vms,
                                                const core::ClientAccountId &account,
                                                const core::AvailabilityZoneId &preferredZone);

} // namespace teaselreach::entry
