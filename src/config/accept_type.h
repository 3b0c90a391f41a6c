/** @file accept_type.h Options, result and failures of a configuration change. */
#pragma once

#include "config/head_type.h"
#include "core/clock_type.h"
#include "record/record_edit_func.h"

#include <functional>
#include <string>
#include <vector>

namespace teaselreach::config {

/** How a change is written. */
struct AcceptOptions
{
    core::ChangeId id; ///< Unique; repeating a change with the same id has no second effect.
    HeadId fleetHead;  ///< Highest revision in force at any daemon that could be asked.
    /**
     * The records that the edits were derived from; a record that has changed since is a conflict.
     * If not set, those of the first reading.
     */
    const record::RecordSet *base = nullptr;
    record::CommandMode mode = record::CommandMode::Execute;
    int maxAttempts = 16;                   ///< Bound on rounds of read, compare and swap.
    core::Millis retryDelay {100};          ///< Between attempts; grows with each of them.
    std::function<void(core::Millis)> wait; ///< Waits; not called if empty.
};

/** An accepted change. */
struct AcceptResult
{
    core::Revision revision;     ///< The revision in which the change is in force.
    int attempts = 1;            ///< Rounds of read, compare and swap.
    bool repeated = false;       ///< An earlier call with this id was accepted.
    bool foundByReading = false; ///< An answer was lost; the change was found in the head.
};

/** Another change of the same record was accepted between reading and writing. */
class ChangeConflict : public core::Error
{
public:
    /**
     * @param ref The record.
     * @param mine The form that this change writes, as JSON text.
     * @param theirs The form that was accepted meanwhile, as JSON text.
     * @param revision The revision that holds the other form.
     */
    ChangeConflict(const record::RecordRef &ref, std::string mine, std::string theirs,
                   core::Revision revision);

    /** @return The form that was refused. */
    const std::string &mine() const { return mine_; }
    /** @return The form that is accepted. */
    const std::string &theirs() const { return theirs_; }

private:
    std::string mine_;
    std::string theirs_;
};

/** The store holds an older configuration than the fleet; nothing was written. */
class StoreBehindFleet : public core::Error
{
public:
    /**
     * @param store The store's revision.
     * @param fleet The fleet's revision.
     */
    StoreBehindFleet(core::Revision store, core::Revision fleet);
};

/** Others changed the head in every attempt; nothing was accepted. */
class ChangeContended : public core::Error
{
public:
    /** @param attempts The number of attempts. */
    explicit ChangeContended(int attempts);
};

/** The answer to the write was lost and the head could not be read back. */
class ChangeOutcomeUnknown : public core::Error
{
public:
    /** @param id The change; the same command with this id completes it or finds it. */
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
