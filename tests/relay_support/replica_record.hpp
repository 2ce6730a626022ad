#pragma once

#include "units/endpoint.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace parsleytrack::relay_support
{

/// \param service Service that the replica belongs to.
/// \param address Address that the replica advertises.
/// \param state State that the replica reports.
/// \param slots Number of requests that the replica runs concurrently.
/// \param started When the replica's process started, in Unix milliseconds.
/// \param version Version of the replica's software.
/// \returns The replica's record in the store, as JSON.
inline std::string replica_record(const std::string& service,
                                  const endpoint& address,
                                  const std::string& state = "ready",
                                  int slots = 4, int started = 1,
                                  const std::string& version = "v1")
{
    return nlohmann::json{{"service", service}, {"address", to_string(address)},
                          {"zone", "z"},        {"version", version},
                          {"slots", slots},     {"state", state},
                          {"seq", 1},           {"born", started}}
        .dump();
}

} // namespace parsleytrack::relay_support
