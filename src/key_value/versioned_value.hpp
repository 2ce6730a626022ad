#pragma once

#include "units/numbers.hpp"

#include <string>

namespace parsleytrack::key_value
{

/// A value in the platform's store and the revision of its last change.
struct versioned_value
{
    std::string value;
    store_revision revision;
};

} // namespace parsleytrack::key_value
