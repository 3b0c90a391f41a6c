/** @file counters_base.h Counts of answered and refused requests. */
#pragma once

#include "table/refusal_table.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

namespace teaselreach::daemon {

/** Counts in shards by thread, each under its own lock. */
class Counters
{
public:
    /** Counts a request that got an upstream's whole answer. */
    void countAnswered();
    /** Counts a refused request. */
    void countRefused(table::Refusal refusal);

    /** @return The counts in Prometheus text form. */
    std::string prometheusText() const;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::uint64_t answered = 0;
        std::array<std::uint64_t, table::refusalTable.size()> refused {};
    };

    static constexpr std::size_t shardCount = 16;

    Shard &ownShard();

    std::array<Shard, shardCount> shards_;
};

} // namespace teaselreach::daemon
