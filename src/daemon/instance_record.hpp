#pragma once

#include "decisions/replica_info.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// The keys under which the platform lists backend servers.
constexpr std::string_view instance_prefix = "instances/";

/// Reads one key of the platform's list of backend servers.
///
/// \param key "instances/SERVICE/REPLICA".
/// \param value The JSON record.
/// \returns The backend server; nothing when the record cannot be read.
std::optional<replica_info> parse_instance(const std::string& key,
                                           const std::string& value);

} // namespace parsleytrack
