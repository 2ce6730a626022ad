#pragma once

#include "relay/relay_adapter.hpp"
#include "settings/relay_settings.hpp"
#include "units/result.hpp"

#include <memory>
#include <string>

namespace parsleytrack::relay
{

/// A node that accepts callers' requests and forwards them by the routes and to
/// the replicas listed in the platform's store.
class relay_node
{
public:
    /// \param node_settings The settings.
    /// \param settings_path The file they were read from, for reloads.
    /// \param adapter Outlives this object.
    relay_node(settings::relay_settings node_settings,
               std::string settings_path, const relay_adapter& adapter);
    ~relay_node();
    relay_node(const relay_node&) = delete;
    relay_node& operator=(const relay_node&) = delete;

    /// Opens the listening sockets and starts to follow the store.
    ///
    /// \returns True, or error_code::bad_settings when an address cannot be
    /// used.
    result<bool> start();

    /// Serves until a planned stop is complete.
    void run();

private:
    struct state;

    std::unique_ptr<state> contents;
};

} // namespace parsleytrack::relay
