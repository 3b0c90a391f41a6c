/** @file accept.cpp Failures of a configuration change. */
#include "config/accept_type.h"

namespace teaselreach::config {

ChangeConflict::ChangeConflict(const record::RecordRef &ref, std::string mine, std::string theirs,
                               core::Revision revision)
    : Error("conflict",
            std::string(table::recordKindRow(ref.kind).command) + " '" + ref.id
                + "' was changed by someone else in revision " + std::to_string(revision.count())
                + "; accepted: " + theirs + "; refused: " + mine)
    , mine_(std::move(mine))
    , theirs_(std::move(theirs))
{ }

StoreBehindFleet::StoreBehindFleet(core::Revision store, core::Revision fleet)
    : Error("store_behind",
            "the store is at revision " + std::to_string(store.count()) + ", the fleet at revision "
                + std::to_string(fleet.count())
                + " or at another form of it; run 'teaselreach restore' first")
{ }

ChangeContended::ChangeContended(int attempts)
    : Error("contended",
            "the head was changed by others in each of " + std::to_string(attempts)
                + " attempts; nothing was accepted")
{ }

ChangeOutcomeUnknown::ChangeOutcomeUnknown(const core::ChangeId &id)
    : Error("outcome_unknown",
            "the store's answer was lost and the head cannot be read; repeat the command with "
            "--change_id="
                + id.str() + " to find or complete the change")
{ }

StoreDamaged::StoreDamaged(const std::string &key)
    : Error("store_damaged", "the store has no valid value under '" + key + "'")
{ }

} // namespace teaselreach::config
