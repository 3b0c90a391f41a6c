/** @file body_budget_base.h Bounds the memory that message bodies take in one process. */
#pragma once

#include "proxy/body_shares_base.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace teaselreach::proxy {

/** Limits of a BodyBudget. */
struct BodyBudgetOptions
{
    /** Bytes of all bodies together. */
    std::size_t maxBytes = std::size_t {80} * 1024 * 1024;
    /** Longer bodies leave a part of the budget free, so that short ones always find room. */
    std::size_t shortBodyBytes = std::size_t {64} * 1024;
    /** The part of the budget that is kept for short bodies, 0 to 1. */
    double shortBodyPart = 0.125;
    /** Whether the accounts that compete for the budget get equal shares of it. */
    bool sharesByAccount = false;
};

/** The bytes of all bodies that a process holds: requests that are read, wait or run, and responses
 * that are read or wait for their callers to read them. */
class BodyBudget
{
public:
    explicit BodyBudget(const BodyBudgetOptions &options = {});

    /** @return Whether a body fits while the process holds no other. */
    bool canEverHold(std::size_t bodyBytes) const { return bodyBytes <= limitOf(bodyBytes); }
    /** @return Bytes that are taken. */
    std::size_t taken() const { return taken_; }
    /** @return Bytes that an account holds; 0 without shares by account. */
    std::size_t heldBy(const core::ClientAccountId &account) const
    {
        return shares_ ? shares_->heldBy(account) : 0;
    }
    /** @return Up to a number of accounts that hold most, with their bytes; none without shares by
     * account. */
    std::vector<std::pair<core::ClientAccountId, std::size_t>> largest(std::size_t count) const
    {
        return shares_ ? shares_->largest(count)
                       : std::vector<std::pair<core::ClientAccountId, std::size_t>> {};
    }
    /** @return Whether accounts have shares. */
    bool sharesByAccount() const { return shares_.has_value(); }

private:
    friend class BodyReservation;

    /** @return What may be taken in all when a body of a size is among it. */
    std::size_t limitOf(std::size_t bodyBytes) const
    {
        return bodyBytes <= shortBodyBytes_ ? maxBytes_ : maxForLongBodies_;
    }
    bool take(const core::ClientAccountId &account, std::size_t more, std::size_t bodyBytes);
    void giveBack(const core::ClientAccountId &account, std::size_t bytes);

    std::size_t maxBytes_;
    std::size_t shortBodyBytes_;
    std::size_t maxForLongBodies_;
    std::size_t taken_ = 0;
    std::optional<BodyShares> shares_; ///< Set if accounts have shares.
};

/** What one body has taken from a budget; given back at the end of its life. */
class BodyReservation
{
public:
    BodyReservation() = default;
    /** @param budget The budget, or nullptr for no bound.
     * @param account The account that holds the body; empty for a request without one. */
    explicit BodyReservation(std::shared_ptr<BodyBudget> budget, core::ClientAccountId account = {})
        : budget_(std::move(budget))
        , account_(std::move(account))
    { }
    ~BodyReservation() { release(); }
    BodyReservation(BodyReservation &&other) noexcept;
    BodyReservation &operator=(BodyReservation &&other) noexcept;
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /** Extends the reservation to a size of the body, if it is smaller. @return Whether the budget
     * has room. */
    bool extendTo(std::size_t bodyBytes);
    /** @return Whether a body of a size fits while the process holds no other. */
    bool canEverHold(std::size_t bodyBytes) const
    {
        return !budget_ || budget_->canEverHold(bodyBytes);
    }
    /** Gives back what it has beyond a size of the body. */
    void reduceTo(std::size_t bodyBytes);
    /** Gives everything back. */
    void release() { reduceTo(0); }
    /** @return Bytes that it has taken. */
    std::size_t bytes() const { return bytes_; }
    /** Logs that the budget has no room for a body of a size now. */
    void logRefusal(std::size_t bodyBytes) const;

private:
    std::shared_ptr<BodyBudget> budget_;
    core::ClientAccountId account_;
    std::size_t bytes_ = 0;
};

/** Bytes of the budget of makeControlBudget(). */
inline constexpr std::size_t controlBudgetBytes = std::size_t {16} * 1024 * 1024;

/** @return A budget for responses that control the process: of the store, or of other VMs. */
std::shared_ptr<BodyBudget> makeControlBudget();

/** Makes the allocator return the memory of long bodies to the system as soon as it is freed. */
void returnFreedBodiesToSystem();

} // namespace teaselreach::proxy
