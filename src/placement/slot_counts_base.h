/** @file slot_counts_base.h Requests counted in time slots of fixed length. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselreach::proxy {

/** Requests by time slot; only slots with requests take memory. Slots are numbered by time. */
class SlotCounts
{
public:
    using Slot = std::int64_t;

    /** Counts requests in a slot; also in a slot before the newest one. */
    void add(Slot slot, int requests)
    {
        auto position = entries_.end();
        while (position != entries_.begin() && std::prev(position)->slot >= slot)
            --position;
        if (position != entries_.end() && position->slot == slot)
            position->requests += requests;
        else
            entries_.insert(position, {.slot = slot, .requests = requests});
        total_ += requests;
    }
    /** Removes the newest request. @return Whether there was one. */
    bool removeNewest()
    {
        if (entries_.empty())
            return false;
        --total_;
        if (--entries_.back().requests == 0)
            entries_.pop_back();
        return true;
    }
    /** Forgets all slots before one. */
    void removeBefore(Slot slot)
    {
        const auto kept = std::find_if(entries_.begin(), entries_.end(),
                                       [&](const Entry &entry) { return entry.slot >= slot; });
        std::for_each(entries_.begin(), kept,
                      [this](const Entry &entry) { total_ -= entry.requests; });
        entries_.erase(entries_.begin(), kept);
    }
    /** @return Requests in a slot and all later ones. */
    int since(Slot slot) const
    {
        int requests = 0;
        for (auto entry = entries_.rbegin(); entry != entries_.rend() && entry->slot >= slot;
             ++entry)
            requests += entry->requests;
        return requests;
    }
    /** Adds the requests to a list by age. @param now The slot with age 0.
     * @param requestsByAge Slots beyond its end count at its end. */
    void addTo(Slot now, std::vector<int> &requestsByAge) const
    {
        const Slot oldest = static_cast<Slot>(requestsByAge.size()) - 1;
        for (const Entry &entry : entries_) {
            const Slot age = std::clamp<Slot>(now - entry.slot, 0, oldest);
            requestsByAge[static_cast<std::size_t>(age)] += entry.requests;
        }
    }
    /** @return All requests. */
    int total() const { return total_; }

private:
    struct Entry
    {
        Slot slot = 0;
        int requests = 0;
    };

    std::vector<Entry> entries_; ///< Oldest first.
    int total_ = 0;
};

} // namespace teaselreach::proxy
