#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace parsleytrack
{

/// A number with a unit or a meaning; does not convert to numbers of other
/// units or meanings.
///
/// \tparam Tag An empty type that names the unit or meaning.
template <class Tag>
class strong_number
{
public:
    constexpr strong_number() = default;

    /// \param number The value, in the unit that Tag names.
    constexpr explicit strong_number(std::int64_t number) : number_value(number)
    {
    }

    /// \returns The value, in the unit that Tag names.
    constexpr std::int64_t count() const { return this->number_value; }

    constexpr auto operator<=>(const strong_number&) const = default;

    constexpr strong_number& operator+=(strong_number other)
    {
        this->number_value += other.number_value;
        return *this;
    }

    constexpr strong_number& operator-=(strong_number other)
    {
        this->number_value -= other.number_value;
        return *this;
    }

    friend constexpr strong_number operator+(strong_number left,
                                             strong_number right)
    {
        return left += right;
    }

    friend constexpr strong_number operator-(strong_number left,
                                             strong_number right)
    {
        return left -= right;
    }

    /// \returns This number plus one.
    constexpr strong_number next() const
    {
        return strong_number(this->number_value + 1);
    }

private:
    std::int64_t number_value = 0;
};

} // namespace parsleytrack

template <class Tag>
struct std::hash<parsleytrack::strong_number<Tag>>
{
    std::size_t operator()(parsleytrack::strong_number<Tag> number) const
    {
        return std::hash<std::int64_t>()(number.count());
    }
};
