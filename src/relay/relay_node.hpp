#pragma once

#include "relay/relay_adapter.hpp"
#include "settings/relay_settings.hpp"
#include "units/result.hpp"

#include <memory>
#include <string>

namespace parsleytrack::relay
{

/// A node that takes callers' requests for routes and replicas that the
/// platform's store names.
class relay_node
{
public:
    /// \param node_settings The settings.
    /// \param settings_path Where they were read, for reloads.
    /// \param adapter Outlives this object.
    relay_node(settings::relay_settings node_settings,
               std::string settings_path, const relay_adapter& adapter);
    ~relay_node();
    relay_node(const relay_node&) = delete;
    relay_node& operator=(const relay_node&) = delete;

    /// Opens the sockets.
    ///
    /// \returns Nothing, or error_code::bad_settings when an address cannot be
    /// used.
    result<bool> start();

    /// Serves until a planned stop has come to its end.
    void run();

private:
    struct state;

    std::unique_ptr<state> contents;
};

} // namespace parsleytrack::relay
