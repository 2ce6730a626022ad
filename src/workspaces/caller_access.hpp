#pragma once

#include "workspaces/workspace_directory.hpp"

#include <optional>
#include <string>

namespace parsleytrack::workspaces
{

/// What a node knows of its configuration when it checks a key.
enum class configuration_state
{
    confirmed,
    /// Not confirmed lately: operators may have added keys since.
    outdated,
    /// Not confirmed for longer than the operators allow: they may have taken
    /// keys away since.
    expired
};

/// Outcome of the check of a caller's key.
struct caller_access
{
    enum class outcome
    {
        granted,
        /// The key belongs to no workspace.
        denied,
        /// Whether the key is valid is not known to this node.
        unknown
    };

    outcome result = outcome::granted;
    /// The caller's workspace; null if there are none, or on a public route
    /// without a valid key.
    const workspace* owner = nullptr;
};

/// Checks a caller's key.
///
/// \param directory The workspaces of the configuration in force.
/// \param key The key; absent when the request shows none, or more than one.
/// \param is_public Whether the request's route needs no key.
caller_access check_access(const workspace_directory& directory,
                           const std::optional<std::string>& key,
                           bool is_public, configuration_state state);

} // namespace parsleytrack::workspaces
