/** @file accept.cpp Error messages of a configuration change. */
#include "config/accept_type.h"

namespace teaselreach::config {

ChangeConflict::ChangeConflict(const record::RecordRef &ref, std::string mine, std::string theirs,
                               core::Revision revision)
    : Error("conflict",
            std::string(table::recordKindRow(ref.kind).command) + " '" + ref.id
                + "' was modified by another change; at revision "
                + std::to_string(revision.count()) + " the store has: " + theirs
                + "; this change has: " + mine)
    , mine_(std::move(mine))
    , theirs_(std::move(theirs))
{ }

StoreBehindFleet::StoreBehindFleet(core::Revision store, core::Revision fleet)
    : Error("store_behind",
            "the store is at revision " + std::to_string(store.count())
                + " but the fleet at revision " + std::to_string(fleet.count())
                + ", or both at the same revision with different content; "
                  "run 'teaselreach restore' first")
{ }

ChangeContended::ChangeContended(int attempts)
    : Error("contended",
            "another client replaced the head during each of " + std::to_string(attempts)
                + " attempts; the change was not accepted")
{ }

ChangeOutcomeUnknown::ChangeOutcomeUnknown(const core::ChangeId &id)
    : Error(
        "outcome_unknown",
        "the store's answer was lost and the head does not show whether the change was accepted; "
        "repeat the command with --change_id="
            + id.str() + " to find or complete the change")
{ }

StoreDamaged::StoreDamaged(const std::string &key)
    : Error("store_damaged",
            "the value under key '" + key + "' is missing or does not match its digest")
{ }

} // namespace teaselreach::config
