/** @file body_shares_base.h Divides the memory for message bodies among client accounts. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/** Parameters of BodyShares. */
struct BodySharesOptions
{
    /** Bytes that an account may hold without competing with others: one short body. Otherwise each
     * small request would lower the share of all other accounts. */
    std::size_t freeBytes = std::size_t {64} * 1024;
    /** Time for which an account that was refused still competes. Refused callers are told to come
     * back after a second; the room must not have gone to another account by then. */
    core::Micros demandTime {core::Seconds(2)};
};

/**
 * Decides which account may take memory for bodies. While several accounts compete, each may hold
 * an equal part of the memory, and at least one body; an account without competitors may hold all
 * of it. Requests without an account share the empty account. Uses no threads, sockets or clocks.
 */
class BodyShares
{
public:
    /** @param options Parameters. */
    explicit BodyShares(const BodySharesOptions &options = {})
        : options_(options)
    { }

    /**
     * @param more Bytes that a body needs beyond those that it has.
     * @param bodyBytes Bytes of the body, including these.
     * @param total Bytes that all accounts together may hold.
     * @return Whether the share of an account allows it.
     */
    bool mayTake(core::MonoTime now, const core::ClientAccountId &account, std::size_t more,
                 std::size_t bodyBytes, std::size_t total);
    /** Records bytes that an account has taken. */
    void taken(const core::ClientAccountId &account, std::size_t bytes);
    /** Records bytes that an account has given back. */
    void givenBack(const core::ClientAccountId &account, std::size_t bytes);
    /** Records that a body of an account found no room, for whatever reason. */
    void refused(core::MonoTime now, const core::ClientAccountId &account);
    /** @return Bytes that an account holds. */
    std::size_t heldBy(const core::ClientAccountId &account) const;
    /** @return Up to a number of accounts that hold most, with their bytes, in falling order. */
    std::vector<std::pair<core::ClientAccountId, std::size_t>> largest(std::size_t count) const;

private:
    /** What an account holds and requests. */
    struct Use
    {
        std::size_t held = 0;
        core::MonoTime demandUntil {}; ///< It competes until then, also if it holds nothing.
    };

    std::size_t competitors(core::MonoTime now, const core::ClientAccountId &account);

    BodySharesOptions options_;
    std::map<core::ClientAccountId, Use> uses_;
};

} // namespace teaselreach::proxy
