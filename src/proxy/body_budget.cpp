/** @file body_budget.cpp Bounds the memory that message bodies take in one process. */
#include "core/log_func.h"
#include "proxy/body_budget_base.h"

#include <malloc.h>
#include <utility>

namespace teaselreach::proxy {

namespace {

/** Blocks of this size or more are mapped one by one, and unmapped when they are freed. */
constexpr int mappedBlockBytes = 128 * 1024;

} // namespace

BodyBudget::BodyBudget(const BodyBudgetOptions &options)
    : maxBytes_(options.maxBytes)
    , shortBodyBytes_(options.shortBodyBytes)
    , maxForLongBodies_(
          options.maxBytes
          - static_cast<std::size_t>(options.shortBodyPart * static_cast<double>(options.maxBytes)))
{
    if (options.sharesByAccount)
        shares_.emplace(BodySharesOptions {.freeBytes = options.shortBodyBytes});
}

bool BodyBudget::take(const core::ClientAccountId &account, std::size_t more, std::size_t bodyBytes)
{
    const std::size_t limit = limitOf(bodyBytes);
    const bool fits = taken_ <= limit && more <= limit - taken_;
    if (!shares_) {
        taken_ += fits ? more : 0;
        return fits;
    }
    const core::MonoTime now = core::MonoClock::now();
    if (!fits || !shares_->mayTake(now, account, more, bodyBytes, limit)) {
        shares_->refused(now, account);
        return false;
    }
    shares_->taken(account, more);
    taken_ += more;
    return true;
}

void BodyBudget::giveBack(const core::ClientAccountId &account, std::size_t bytes)
{
    taken_ -= bytes;
    if (shares_)
        shares_->givenBack(account, bytes);
}

BodyReservation::BodyReservation(BodyReservation &&other) noexcept
    : budget_(std::move(other.budget_))
    , account_(std::move(other.account_))
    , bytes_(std::exchange(other.bytes_, 0))
{ }

BodyReservation &BodyReservation::operator=(BodyReservation &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    budget_ = std::move(other.budget_);
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool BodyReservation::extendTo(std::size_t bodyBytes)
{
    if (!budget_ || bodyBytes <= bytes_)
        return true;
    if (!budget_->take(account_, bodyBytes - bytes_, bodyBytes))
        return false;
    bytes_ = bodyBytes;
    return true;
}

void BodyReservation::reduceTo(std::size_t bodyBytes)
{
    if (!budget_ || bodyBytes >= bytes_)
        return;
    budget_->giveBack(account_, bytes_ - bodyBytes);
    bytes_ = bodyBytes;
}

void BodyReservation::logRefusal(std::size_t bodyBytes) const
{
    // Without shares by account the reader of the body alone logs that there is no room.
    if (!budget_ || !budget_->sharesByAccount())
        return;
    core::logEvent(core::LogLevel::Info, "body_refused",
                   {{"account", account_.str()},
                    {"bytes", static_cast<std::int64_t>(bodyBytes)},
                    {"held", static_cast<std::int64_t>(budget_->heldBy(account_))},
                    {"held_by_all", static_cast<std::int64_t>(budget_->taken())}});
}

std::shared_ptr<BodyBudget> makeControlBudget()
{
    return std::make_shared<BodyBudget>(
        BodyBudgetOptions {.maxBytes = controlBudgetBytes, .shortBodyPart = 0});
}

void returnFreedBodiesToSystem()
{
    // A fixed threshold: by default the allocator raises it with each long block that is freed, and
    // keeps later ones.
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
}

} // namespace teaselreach::proxy
