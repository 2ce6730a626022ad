#pragma once

#include <string_view>

namespace parsleytrack
{

/// \returns Whether the bytes are UTF-8, which JSON documents consist of.
bool is_utf8(std::string_view bytes);

} // namespace parsleytrack
