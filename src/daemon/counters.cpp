/** @file counters.cpp Counts of answered and refused requests. */
#include "daemon/counters_base.h"

#include <functional>
#include <thread>

namespace teaselreach::daemon {

void Counters::countAnswered()
{
    Shard &shard = ownShard();
    const std::lock_guard lock(shard.mutex);
    ++shard.answered;
}

void Counters::countRefused(table::Refusal refusal)
{
    Shard &shard = ownShard();
    const std::lock_guard lock(shard.mutex);
    ++shard.refused[static_cast<std::size_t>(refusal)];
}

std::string Counters::prometheusText() const
{
    std::uint64_t answered = 0;
    std::array<std::uint64_t, table::refusalTable.size()> refused {};
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        answered += shard.answered;
        for (std::size_t i = 0; i < refused.size(); ++i)
            refused[i] += shard.refused[i];
    }
    std::string text = "# TYPE teaselreach_requests_answered_total counter\n"
                       "teaselreach_requests_answered_total "
        + std::to_string(answered) + "\n# TYPE teaselreach_requests_refused_total counter\n";
    for (std::size_t i = 0; i < refused.size(); ++i) {
        text += "teaselreach_requests_refused_total{code=\""
            + std::string(table::refusalTable[i].code) + "\"} " + std::to_string(refused[i]) + "\n";
    }
    return text;
}

Counters::Shard &Counters::ownShard()
{
    return shards_[std::hash<std::thread::id> {}(std::this_thread::get_id()) % shardCount];
}

} // namespace teaselreach::daemon
