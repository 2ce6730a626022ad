#pragma once

#include <random>

namespace parsleytrack
{

/// Random number generator for decisions. It is passed in, so that a run with
/// the same seed is reproducible.
using random_source = std::mt19937_64;

} // namespace parsleytrack
