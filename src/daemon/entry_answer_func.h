/** @file entry_answer_func.h Answers GET /.teaselreach/entry with entry addresses. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/vm_type.h"
#include "http/server_base.h"

#include <functional>
#include <string_view>
#include <vector>

namespace teaselreach::daemon {

/** Path at which callers query the entry addresses to use. */
inline constexpr std::string_view entryPath = "/.teaselreach/entry";

/** Time for which callers may use the addresses of one response. */
inline constexpr int entryValidForSeconds = 30;

/** Returns the home VMs of an account, in the order of their slots; empty if they are unknown. */
using HomeLookup = std::function<std::vector<core::VmId>(const core::ClientAccountId &account)>;

/**
 * Selects entry addresses for the account of the request's key.
 * @param request A request for entryPath; the query parameter "zone" names the caller's zone.
 * @param snapshot The active configuration, or nullptr.
 * @param keysUsable Whether the configuration's keys are recent enough to be trusted.
 * @param vms The VM list, in which leaving VMs are marked as such.
 * @param homesOf Looks up the home VMs of the account.
 * @return The response with the addresses.
 * @throws RequestRefused if the method is not GET, there is no configuration, or the key is
 *     missing, unknown or not to be trusted any more.
 */
http::ServerResponse answerEntry(const http::ServerRequest &request,
                                 const config::ConfigSnapshot *snapshot, bool keysUsable,
                                 const core::VmList &vms, const HomeLookup &homesOf);

} // namespace teaselreach::daemon
