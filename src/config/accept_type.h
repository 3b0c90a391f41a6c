/** @file accept_type.h Options, result and errors of a configuration change. */
#pragma once

#include "config/head_type.h"
#include "core/clock_type.h"
#include "record/record_edit_func.h"

#include <functional>
#include <string>
#include <vector>

namespace teaselreach::config {

/** Options of acceptChange(). */
struct AcceptOptions
{
    core::ChangeId id; ///< Unique; a change with an id that was already accepted is not repeated.
    HeadId fleetHead;  ///< Head with the highest revision among the daemons that answered.
    /**
     * The records that the edits were derived from. An edited record that has changed since then is
     * a conflict. If nullptr, the records of the first read are the base.
     */
    const record::RecordSet *base = nullptr;
    record::CommandMode mode = record::CommandMode::Execute;
    int maxAttempts = 16;                   ///< Limit on rounds of read and compare-and-swap.
    core::Millis retryDelay {100};          ///< Before the second attempt; grows linearly.
    std::function<void(core::Millis)> wait; ///< Sleeps between attempts; no delay if empty.
};

/** Result of an accepted change. */
struct AcceptResult
{
    core::Revision revision;     ///< The revision that contains the change.
    int attempts = 1;            ///< Rounds of read and compare-and-swap that were made.
    bool repeated = false;       ///< An earlier call with this id had already been accepted.
    bool foundByReading = false; ///< A write had no answer; the change was then found in the head.
};

/** An edited record was changed by another accepted change since the base of the edits. */
class ChangeConflict : public core::Error
{
public:
    /**
     * @param ref The record.
     * @param mine The record as this change writes it, as JSON text, or "withdrawn".
     * @param theirs The record in the store, as JSON text, or "withdrawn".
     * @param revision The store's current revision.
     */
    ChangeConflict(const record::RecordRef &ref, std::string mine, std::string theirs,
                   core::Revision revision);

    /** @return The record as the refused change would have written it. */
    const std::string &mine() const { return mine_; }
    /** @return The record as it is in the store. */
    const std::string &theirs() const { return theirs_; }

private:
    std::string mine_;
    std::string theirs_;
};

/**
 * The store's head is older than one that is already known from a daemon or an earlier read, or has
 * the same revision with different content. The change is not accepted.
 */
class StoreBehindFleet : public core::Error
{
public:
    /**
     * @param store The store's revision.
     * @param fleet The highest revision known from daemons or earlier reads of the store.
     */
    StoreBehindFleet(core::Revision store, core::Revision fleet);
};

/** The compare-and-swap of the head failed in every attempt; the change is not accepted. */
class ChangeContended : public core::Error
{
public:
    /** @param attempts The number of attempts. */
    explicit ChangeContended(int attempts);
};

/** A write had no answer, and reading the head did not show whether the change was accepted. */
class ChangeOutcomeUnknown : public core::Error
{
public:
    /** @param id The change; repeating the command with this id either finds or commits it. */
    explicit ChangeOutcomeUnknown(const core::ChangeId &id);
};

/** A value that the head names is not in the store, or its content does not match its digest. */
class StoreDamaged : public core::Error
{
public:
    /** @param key The key of the value. */
    explicit StoreDamaged(const std::string &key);
};

} // namespace teaselreach::config
