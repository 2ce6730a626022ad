#include "units/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace parsleytrack
{

namespace
{

constexpr unsigned payload_bits = 6;
constexpr std::uint32_t payload_mask = 0x3f;
constexpr std::uint32_t first_surrogate = 0xd800;
constexpr std::uint32_t last_surrogate = 0xdfff;
constexpr std::uint32_t largest_character = 0x10ffff;

/// How a character of some length is encoded.
struct form
{
    std::size_t length;
    /// The bits of the first byte that tell the length, and their values.
    std::uint8_t mask;
    std::uint8_t marker;
    /// The smallest character that needs this length.
    std::uint32_t smallest;
};

constexpr form forms[] = {{1, 0x80, 0x00, 0},
                          {2, 0xe0, 0xc0, 0x80},
                          {3, 0xf0, 0xe0, 0x800},
                          {4, 0xf8, 0xf0, 0x10000}};

/// \returns The length of the first character; 0 when it is invalid.
std::size_t first_length(std::string_view bytes)
{
    const auto first = static_cast<std::uint8_t>(bytes.front());
    for (const form& encoded : forms)
    {
        if ((first & encoded.mask) != encoded.marker ||
            bytes.size() < encoded.length)
        {
            continue;
        }
        auto character = static_cast<std::uint32_t>(first & ~encoded.mask);
        for (const char next : bytes.substr(1, encoded.length - 1))
        {
            const auto byte = static_cast<std::uint8_t>(next);
            if (byte >> payload_bits != 2)
            {
                return 0;
            }
            character = (character << payload_bits) | (byte & payload_mask);
        }
        const bool is_surrogate =
            character >= first_surrogate && character <= last_surrogate;
        return character < encoded.smallest || is_surrogate ||
                       character > largest_character
                   ? 0
                   : encoded.length;
    }
    return 0;
}

} // namespace

bool is_utf8(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const std::size_t length = first_length(bytes);
        if (length == 0)
        {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

} // namespace parsleytrack
