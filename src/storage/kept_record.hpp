#pragma once

#include <cstdint>
#include <string>

namespace parsleytrack::storage
{

/// A copy of a record of the platform's store, for reading while the store
/// cannot be reached.
struct kept_record
{
    std::string name;
    /// The revision at which the store held it; a higher one replaces it.
    std::int64_t version = 0;
    std::string bytes;
};

} // namespace parsleytrack::storage
