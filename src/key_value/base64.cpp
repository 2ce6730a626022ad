#include "key_value/base64.hpp"

#include <cstddef>
#include <cstdint>

namespace parsleytrack::key_value
{

namespace
{

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_digit = 6;
constexpr unsigned bits_per_byte = 8;
constexpr std::uint32_t digit_mask = 0x3f;
constexpr std::uint32_t byte_mask = 0xff;
constexpr std::size_t digits_per_group = 4;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * digits_per_group);
    std::uint32_t buffer = 0;
    unsigned buffered_bits = 0;
    for (const char byte : bytes)
    {
        buffer = (buffer << bits_per_byte) | static_cast<std::uint8_t>(byte);
        buffered_bits += bits_per_byte;
        while (buffered_bits >= bits_per_digit)
        {
            buffered_bits -= bits_per_digit;
            text.push_back(alphabet[(buffer >> buffered_bits) & digit_mask]);
        }
    }
    if (buffered_bits > 0)
    {
        const std::uint32_t rest = buffer << (bits_per_digit - buffered_bits);
        text.push_back(alphabet[rest & digit_mask]);
    }
    while (text.size() % digits_per_group != 0)
    {
        text.push_back('=');
    }
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    while (!text.empty() && text.back() == '=')
    {
        text.remove_suffix(1);
    }
    std::string bytes;
    bytes.reserve(text.size() * 3 / digits_per_group);
    std::uint32_t buffer = 0;
    unsigned buffered_bits = 0;
    for (const char digit : text)
    {
        const std::size_t value = alphabet.find(digit);
        if (value == std::string_view::npos)
        {
            return std::nullopt;
        }
        buffer = (buffer << bits_per_digit) | static_cast<std::uint32_t>(value);
        buffered_bits += bits_per_digit;
        if (buffered_bits >= bits_per_byte)
        {
            buffered_bits -= bits_per_byte;
            bytes.push_back(
                static_cast<char>((buffer >> buffered_bits) & byte_mask));
        }
    }
    return bytes;
}

} // namespace parsleytrack::key_value
