/** @file strong_type.h Strong types for ids and units: distinct types over a plain representation.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace teaselreach::core {

/**
 * A text identifier that only compares with identifiers of the same kind.
 * @tparam Tag An empty type that names the kind.
 */
template <typename Tag>
class StringId
{
public:
    StringId() = default;
    /** @param value The text form of the id. */
    explicit StringId(std::string value)
        : value_(std::move(value))
    { }

    /** @return The text form of the id. */
    const std::string &str() const { return value_; }
    /** @return Whether no id has been set. */
    bool empty() const { return value_.empty(); }

    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const StringId &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const StringId &) const = default;

private:
    std::string value_;
};

/**
 * An integer quantity or counter that only combines with quantities of the same kind.
 * @tparam Tag An empty type that names the kind.
 * @tparam Rep The integer representation.
 */
template <typename Tag, typename Rep>
class StrongInt
{
public:
    constexpr StrongInt() = default;
    /** @param value The plain value. */
    explicit constexpr StrongInt(Rep value)
        : value_(value)
    { }

    /** @return The plain value. */
    constexpr Rep count() const { return value_; }

    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    constexpr auto operator<=>(const StrongInt &) const = default; // NOLINT(modernize-use-nullptr)
    constexpr bool operator==(const StrongInt &) const = default;

private:
    Rep value_ {};
};

/** Hash for strong ids, for use as the hasher of unordered containers. */
struct StrongHash
{
    template <typename Tag>
    std::size_t operator()(const StringId<Tag> &id) const
    {
        return std::hash<std::string> {}(id.str());
    }
    template <typename Tag, typename Rep>
    std::size_t operator()(const StrongInt<Tag, Rep> &value) const
    {
        return std::hash<Rep> {}(value.count());
    }
};

} // namespace teaselreach::core
