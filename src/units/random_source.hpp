#pragma once

#include <cstdint>
#include <random>

namespace parsleytrack
{

/// Random number generator for decisions. It is passed in, so that a run with
/// the same seed is reproducible.
using random_source = std::mt19937_64;

/// \returns A seed from the operating system.
inline std::uint64_t random_seed()
{
    std::random_device device;
    constexpr int bits = 32;
    return (static_cast<std::uint64_t>(device()) << bits) | device();
}

} // namespace parsleytrack
