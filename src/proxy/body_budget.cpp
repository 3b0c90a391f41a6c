/** @file body_budget.cpp Bounds the memory that message bodies take in one process. */
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
{ }

bool BodyBudget::take(std::size_t more, std::size_t bodyBytes)
{
    const std::size_t limit = limitOf(bodyBytes);
    if (taken_ > limit || more > limit - taken_)
        return false;
    taken_ += more;
    return true;
}

BodyReservation::BodyReservation(BodyReservation &&other) noexcept
    : budget_(std::move(other.budget_))
    , bytes_(std::exchange(other.bytes_, 0))
{ }

BodyReservation &BodyReservation::operator=(BodyReservation &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool BodyReservation::extendTo(std::size_t bodyBytes)
{
    if (!budget_ || bodyBytes <= bytes_)
        return true;
    if (!budget_->take(bodyBytes - bytes_, bodyBytes))
        return false;
    bytes_ = bodyBytes;
    return true;
}

void BodyReservation::reduceTo(std::size_t bodyBytes)
{
    if (!budget_ || bodyBytes >= bytes_)
        return;
    budget_->giveBack(bytes_ - bodyBytes);
    bytes_ = bodyBytes;
}

std::shared_ptr<BodyBudget> makeControlBudget()
{
    constexpr std::size_t maxBytes = std::size_t {16} * 1024 * 1024;
    return std::make_shared<BodyBudget>(
        BodyBudgetOptions {.maxBytes = maxBytes, .shortBodyPart = 0});
}

void returnFreedBodiesToSystem()
{
    // A fixed threshold: by default the allocator raises it with each long block that is freed, and
    // keeps later ones.
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
}

} // namespace teaselreach::proxy
