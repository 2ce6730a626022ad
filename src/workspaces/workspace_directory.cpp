#include "workspaces/workspace_directory.hpp"

#include "workspaces/key_digest.hpp"

#include <utility>

namespace parsleytrack::workspaces
{

namespace
{

/// Marks a key that several workspaces hold.
constexpr std::size_t ambiguous = static_cast<std::size_t>(-1);

} // namespace

workspace_directory::workspace_directory(std::vector<workspace> configured,
                                         std::vector<std::string> reported)
    : found(std::move(reported)), is_closed(!this->found.empty())
{
    this->entries.reserve(configured.size());
    for (workspace& entry : configured)
    {
        const std::size_t index = this->entries.size();
        if (!this->by_name.emplace(entry.name, index).second)
        {
            this->found.push_back(
                "workspace " + entry.name.str() +
                " is defined twice; the first definition counts");
            continue;
        }
        if (entry.keys.empty())
        {
            this->found.push_back("workspace " + entry.name.str() +
                                  " has no key");
        }
        this->entries.push_back(std::move(entry));
        this->key_counts.push_back(0);
        for (const std::string& key : this->entries.back().keys)
        {
            this->add_key(key, index);
        }
        // The keys are kept in the index.
        this->entries.back().keys = {};
    }
}

void workspace_directory::add_key(const std::string& key, std::size_t index)
{
    if (key.empty())
    {
        this->found.push_back("workspace " + this->entries[index].name.str() +
                              " has an empty key");
        return;
    }
    const auto [known, added] = this->by_key.emplace(key, index);
    if (added)
    {
        this->key_counts[index] += 1;
        return;
    }
    if (known->second == index)
    {
        return;
    }
    if (known->second != ambiguous)
    {
        this->key_counts[known->second] -= 1;
        this->found.push_back(
            "key " + key_digest(key) + " is held by the workspaces " +
            this->entries[known->second].name.str() + " and " +
            this->entries[index].name.str() + "; it is not accepted");
    }
    known->second = ambiguous;
}

std::size_t workspace_directory::key_count_of(const workspace_name& name) const
{
    const auto known = this->by_name.find(name);
    return known == this->by_name.end() ? 0 : this->key_counts[known->second];
}

const workspace* workspace_directory::find_by_key(std::string_view key) const
{
    const auto known = this->by_key.find(key);
    return known == this->by_key.end() || known->second == ambiguous
               ? nullptr
               : &this->entries[known->second];
}

const workspace* workspace_directory::find(const workspace_name& name) const
{
    const auto known = this->by_name.find(name);
    return known == this->by_name.end() ? nullptr
                                        : &this->entries[known->second];
}

} // namespace parsleytrack::workspaces
