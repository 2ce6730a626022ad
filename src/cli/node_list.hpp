#pragma once

#include "units/endpoint.hpp"

#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// \param text As "IP:PORT,IP:PORT".
/// \returns The addresses; nullopt when the text is malformed or empty.
std::optional<std::vector<endpoint>> parse_nodes(const std::string& text);

} // namespace parsleytrack::cli
