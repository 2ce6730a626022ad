#pragma once

#include "workspaces/workspace.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleytrack::workspaces
{

namespace detail
{

/// Lets the keys be looked up without a copy.
struct text_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

} // namespace detail

/// The workspaces of one version of the configuration, found by key and by
/// name.
class workspace_directory
{
public:
    workspace_directory() = default;

    /// A key that several workspaces hold belongs to none of them, since it
    /// does not tell whose request it is. Of two workspaces of one name the
    /// first counts. Without any workspace that can be used, but with problems,
    /// callers still need a key, and none is accepted.
    ///
    /// \param reported Problems that were found before.
    explicit workspace_directory(std::vector<workspace> configured,
                                 std::vector<std::string> reported = {});

    /// \returns Whether the configuration has no workspaces: callers need no
    /// key.
    bool empty() const { return this->entries.empty() && !this->is_closed; }

    std::size_t size() const { return this->entries.size(); }

    std::size_t key_count() const { return this->by_key.size(); }

    /// \returns The number of keys that are accepted for a workspace.
    std::size_t key_count_of(const workspace_name& name) const;

    /// \returns The workspace that holds the key, or nullptr.
    const workspace* find_by_key(std::string_view key) const;

    /// \returns The workspace of that name, or nullptr.
    const workspace* find(const workspace_name& name) const;

    const std::vector<workspace>& all() const { return this->entries; }

    /// \returns What is wrong with the workspaces as configured, for the log;
    /// names no key.
    const std::vector<std::string>& problems() const { return this->found; }

private:
    void add_key(const std::string& key, std::size_t index);

    std::vector<workspace> entries;
    /// Number of accepted keys of each entry.
    std::vector<std::size_t> key_counts;
    std::unordered_map<std::string, std::size_t, detail::text_hash,
                       std::equal_to<>>
        by_key;
    std::map<workspace_name, std::size_t> by_name;
    std::vector<std::string> found;
    bool is_closed = false;
};

} // namespace parsleytrack::workspaces
