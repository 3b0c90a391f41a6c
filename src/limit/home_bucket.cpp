/** @file home_bucket.cpp Token bucket for one home slot's share of an account's limit. */
#include "limit/home_bucket_base.h"
#include "limit/home_choice_func.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::limit {

namespace {

/** Tolerance for the rounding errors of added doubles: a level this far below 1 is a token. */
constexpr double tokenEpsilon = 1e-9;

double secondsBetween(core::MonoTime from, core::MonoTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

/** @return Time in which a number of tokens is refilled, rounded up. */
core::Micros refillTime(double tokens, double ratePerSecond)
{
    constexpr double micros = 1e6;
    return core::Micros(static_cast<std::int64_t>(std::ceil(tokens / ratePerSecond * micros)));
}

} // namespace

HomeBucket::HomeBucket(Share share, core::MonoTime start)
    : share_(share)
    , outstanding_(share.burst)
    , refilledUntil_(start)
{
    loans_.push_back({.expiry = start + core::withDrift(restartHoldDown), .amount = share.burst});
}

bool HomeBucket::tryTake(core::MonoTime now)
{
    advance(now);
    if (refilledUntil_ > now || level_ < 1 - tokenEpsilon)
        return false;
    level_ -= 1;
    return true;
}

Grant HomeBucket::lend(core::MonoTime now, const LoanId &loan, int wanted, core::Micros maxDelay)
{
    advance(now);
    Grant grant;
    for (int i = 0; i < wanted; ++i) {
        const std::optional<core::MonoTime> ready = earliestToken();
        if (!ready || *ready > now + std::min(maxDelay, maxTokenDelay))
            break;
        advance(*ready);
        level_ -= 1;
        outstanding_ += 1;
        grant.delays.push_back(*ready - now);
    }
    if (grant.delays.empty())
        return grant;
    grant.lifetime = grant.delays.back() + loanLifetime(share_);
    const int tokens = static_cast<int>(grant.delays.size());
    insertLoan({.expiry = now + core::withDrift(grant.lifetime),
                .id = loan,
                .tokens = tokens,
                .amount = static_cast<double>(tokens)});
    return grant;
}

void HomeBucket::finishLoan(core::MonoTime now, const FinishedLoan &finished)
{
    advance(now);
    if (finished.id.sequence == 0)
        return;
    const auto loan = std::find_if(loans_.begin(), loans_.end(), [&](const Loan &candidate) {
        return candidate.id == finished.id;
    });
    if (loan == loans_.end())
        return;
    const int unused = std::clamp(finished.unused, 0, loan->tokens);
    outstanding_ -= loan->amount;
    loans_.erase(loan);
    level_ = std::min(level_ + unused, share_.burst - outstanding_);
}

void HomeBucket::setShare(core::MonoTime now, Share share)
{
    advance(now);
    share_ = share;
    level_ = std::min(level_, share_.burst - outstanding_);
}

void HomeBucket::advance(core::MonoTime now)
{
    while (!loans_.empty() && loans_.front().expiry <= now) {
        refillTo(loans_.front().expiry);
        outstanding_ -= loans_.front().amount;
        loans_.erase(loans_.begin());
    }
    refillTo(now);
}

double HomeBucket::level(core::MonoTime now) const
{
    HomeBucket copy = *this;
    copy.advance(now);
    if (copy.refilledUntil_ <= now && copy.level_ >= 1)
        return copy.level_;
    const std::optional<core::MonoTime> ready = copy.earliestToken();
    if (!ready)
        return -share_.burst;
    return 1 - share_.ratePerSecond * secondsBetween(now, *ready);
}

core::MonoTime HomeBucket::loansExpireAt() const
{
    return loans_.empty() ? refilledUntil_ : loans_.back().expiry;
}

/** Adds the refill up to a time; an earlier time changes nothing. */
void HomeBucket::refillTo(core::MonoTime time)
{
    if (time <= refilledUntil_)
        return;
    const double refilled = level_ + share_.ratePerSecond * secondsBetween(refilledUntil_, time);
    level_ = std::min(refilled, share_.burst - outstanding_);
    refilledUntil_ = time;
}

/**
 * @return The earliest time, from refilledUntil_ on, at which the level reaches 1, given the expiry
 * of the loans; nothing if it never does.
 */
std::optional<core::MonoTime> HomeBucket::earliestToken() const
{
    core::MonoTime time = refilledUntil_;
    double level = level_;
    double headroom = share_.burst - outstanding_;
    for (auto loan = loans_.begin();; ++loan) {
        if (level >= 1 - tokenEpsilon)
            return time;
        const bool last = loan == loans_.end();
        if (headroom >= 1 && share_.ratePerSecond > 0) {
            const core::MonoTime ready = time + refillTime(1 - level, share_.ratePerSecond);
            if (last || ready <= loan->expiry)
                return ready;
        }
        if (last)
            return std::nullopt;
        level =
            std::min(level + share_.ratePerSecond * secondsBetween(time, loan->expiry), headroom);
        time = std::max(time, loan->expiry);
        headroom += loan->amount;
    }
}

void HomeBucket::insertLoan(const Loan &loan)
{
    const auto position =
        std::upper_bound(loans_.begin(), loans_.end(), loan,
                         [](const Loan &a, const Loan &b) { return a.expiry < b.expiry; });
    loans_.insert(position, loan);
}

} // namespace teaselreach::limit
