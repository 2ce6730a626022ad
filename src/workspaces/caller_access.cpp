#include "workspaces/caller_access.hpp"

namespace parsleytrack::workspaces
{

caller_access check_access(const workspace_directory& directory,
                           const std::optional<std::string>& key,
                           bool is_public, configuration_state state)
{
    using outcome = caller_access::outcome;
    if (directory.empty())
    {
        return {};
    }
    const workspace* owner = key ? directory.find_by_key(*key) : nullptr;
    if (is_public)
    {
        return {outcome::granted, owner};
    }
    if (!key)
    {
        return {outcome::denied, nullptr};
    }
    if (state == configuration_state::expired)
    {
        return {outcome::unknown, nullptr};
    }
    if (owner == nullptr)
    {
        return {state == configuration_state::confirmed ? outcome::denied
                                                        : outcome::unknown,
                nullptr};
    }
    return {outcome::granted, owner};
}

} // namespace parsleytrack::workspaces
