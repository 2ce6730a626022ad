#include "workspaces/key_digest.hpp"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace parsleytrack::workspaces
{

namespace
{

constexpr std::size_t key_digits = 8;

} // namespace

std::string key_digest(std::string_view key)
{
    return name_digest(key).substr(0, key_digits);
}

std::string name_digest(std::string_view name)
{
    const std::uint64_t hash = XXH64(name.data(), name.size(), 0);
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(hash));
    return text.data();
}

} // namespace parsleytrack::workspaces
