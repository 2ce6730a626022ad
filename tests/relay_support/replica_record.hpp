#pragma once

#include "units/endpoint.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace parsleytrack::relay_support
{

/// \param service Which service a replica belongs to.
/// \param address Where it says that it listens.
/// \param state What it says of itself.
/// \param slots Requests that it runs at the same time.
/// \returns What it writes of itself to the store.
inline std::string replica_record(const std::string& service,
                                  const endpoint& address,
                                  const std::string& state = "ready",
                                  int slots = 4)
{
    return nlohmann::json{{"service", service}, {"address", to_string(address)},
                          {"zone", "z"},        {"version", "v1"},
                          {"slots", slots},     {"state", state},
                          {"seq", 1},           {"born", 1}}
        .dump();
}

} // namespace parsleytrack::relay_support
