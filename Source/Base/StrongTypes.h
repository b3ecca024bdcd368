#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lycheearch {

/// A string identifier with a type of its own, so that the compiler rejects an identifier of
/// another kind. \c Tag is an incomplete type that distinguishes the kinds.
template <typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const StringId &) const = default;

private:
    std::string m_value;
};

/// An integer with a unit as part of its type, for example a log offset. Quantities of the same
/// unit can be compared, added and subtracted.
template <typename Tag>
class Quantity
{
public:
    Quantity() = default;
    constexpr explicit Quantity(std::int64_t value)
        : m_value(value)
    {
    }

    constexpr std::int64_t value() const { return m_value; }
    constexpr auto operator<=>(const Quantity &) const = default;
    constexpr Quantity operator+(Quantity other) const { return Quantity(m_value + other.m_value); }
    constexpr Quantity operator-(Quantity other) const { return Quantity(m_value - other.m_value); }
    constexpr Quantity next() const { return Quantity(m_value + 1); }

private:
    std::int64_t m_value = 0;
};

} // namespace lycheearch

template <typename Tag>
struct std::hash<lycheearch::StringId<Tag>>
{
    std::size_t operator()(const lycheearch::StringId<Tag> &id) const
    {
        return std::hash<std::string>()(id.value());
    }
};
