/** @file fake_store.h In-memory key-value service with compare-and-swap and injected faults. */
#pragma once

#include "store/store_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace teaselreach::standins {

/** Models KeyValueStore for tests in virtual time. Not thread-safe. */
class FakeStore
{
public:
    bool outage = false;             ///< Every call throws StoreUnavailable.
    int loseAnswers = 0;             ///< So many writes are applied without an answer.
    int loseWrites = 0;              ///< So many writes are neither applied nor answered.
    bool outageAfterLoss = false;    ///< A lost answer is followed by an outage.
    std::function<void()> beforePut; ///< Runs once before the next write of the head.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytesRead = 0;

    std::optional<store::StoredValue> get(const std::string &key)
    {
        ++reads;
        requireUp("get", key);
        const auto found = values.find(key);
        if (found == values.end())
            return std::nullopt;
        bytesRead += found->second.value.size();
        return found->second;
    }

    store::StoreVersion put(const std::string &key, const std::string &value,
                            store::StoreVersion expected)
    {
        ++writes;
        if (key == "head" && beforePut)
            std::exchange(beforePut, nullptr)();
        requireUp("put", key);
        if (loseWrites > 0 && loseWrites-- > 0)
            throw store::StoreOutcomeUnknown("put " + key + ": no answer");
        const store::StoreVersion version = compareAndSwap(key, value, expected);
        if (loseAnswers > 0 && loseAnswers-- > 0) {
            outage = outage || outageAfterLoss;
            throw store::StoreOutcomeUnknown("put " + key + ": no answer");
        }
        return version;
    }

    void remove(const std::string &key, store::StoreVersion expected)
    {
        requireUp("remove", key);
        requireVersion(key, expected);
        values.erase(key);
    }

    std::optional<store::StoredValue> watch(const std::string &key, store::StoreVersion after,
                                            core::Millis)
    {
        auto found = get(key);
        return found && found->version > after ? found : std::nullopt;
    }

    std::map<std::string, store::StoredValue> values; ///< Copied to restore an older state.

private:
    void requireUp(const std::string &operation, const std::string &key) const
    {
        if (outage)
            throw store::StoreUnavailable(operation + " " + key + ": outage");
    }

    void requireVersion(const std::string &key, store::StoreVersion expected) const
    {
        const auto found = values.find(key);
        const auto current = found == values.end() ? store::StoreVersion() : found->second.version;
        if (current != expected)
            throw store::StoreConflict(key, current);
    }

    store::StoreVersion compareAndSwap(const std::string &key, const std::string &value,
                                       store::StoreVersion expected)
    {
        requireVersion(key, expected);
        const store::StoreVersion version(++lastVersion_);
        values[key] = {value, version};
        return version;
    }

    std::uint64_t lastVersion_ = 0;
};

static_assert(store::KeyValueStore<FakeStore>);

} // namespace teaselreach::standins
