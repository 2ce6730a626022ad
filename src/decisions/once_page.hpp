#pragma once

#include "decisions/once_entry.hpp"
#include "units/numbers.hpp"

#include <map>
#include <string>

namespace parsleytrack
{

/// The calls of one part of the keys, agreed as one value of the store.
struct once_page
{
    std::map<std::string, once_entry> entries;

    bool operator==(const once_page&) const = default;
};

/// A page as it was read, and its revision; 0 when it does not exist.
struct seen_once_page
{
    once_page page;
    store_revision revision;
};

} // namespace parsleytrack
