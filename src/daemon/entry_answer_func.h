/** @file entry_answer_func.h The answer to GET /.teaselreach/entry. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/vm_type.h"
#include "http/server_base.h"

#include <functional>
#include <string_view>
#include <vector>

namespace teaselreach::daemon {

/** Path at which callers ask which entry addresses to use. */
inline constexpr std::string_view entryPath = "/.teaselreach/entry";

/** How long callers may use the addresses of one answer. */
inline constexpr int entryValidForSeconds = 30;

/** Tells the home VMs of an account, in the order of their slots; empty if they are not known. */
using HomeLookup = std::function<std::vector<core::VmId>(const core::ClientAccountId &account)>;

/**
 * @param request A request for entryPath; the query field "zone" names the caller's zone.
 * @param snapshot The configuration in force, or nullptr.
 * @param keysUsable Whether the configuration's keys are recent enough.
 * @param vms The list of VMs, in which a leaving VM is marked as such.
 * @param homesOf Tells the homes of the key's account.
 * @return The addresses for the key's account.
 * @throws RequestRefused if the request has no valid key.
 */
http::ServerResponse answerEntry(const http::ServerRequest &request,
                                 const config::ConfigSnapshot *snapshot, bool keysUsable,
                                 const core::VmList &vms, const HomeLookup &homesOf);

} // namespace teaselreach::daemon
