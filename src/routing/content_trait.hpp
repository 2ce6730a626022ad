#pragma once

#include "units/ids.hpp"

#include <string_view>

namespace parsleytrack::routing
{

/// Begins the traits that stand for a whole request. Ids of parts of prompts
/// contain no colon.
constexpr std::string_view content_prefix = "request:";

/// \returns Whether the trait stands for a whole request, which others share
/// only if they repeat it.
inline bool is_content(const request_trait& trait)
{
    return trait.str().starts_with(content_prefix);
}

} // namespace parsleytrack::routing
