#include "decisions/seed_list.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace parsleytrack
{

namespace
{

std::vector<node_info> alive_only(const std::vector<node_info>& nodes)
{
    std::vector<node_info> alive;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(alive),
                 [](const node_info& node)
                 { return node.state == node_state::alive; });
    return alive;
}

std::vector<std::size_t> ranked(const std::vector<node_info>& nodes,
                                std::string_view duty, std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(nodes.size());
    for (const node_info& node : nodes)
    {
        names.push_back(node.id.str());
    }
    return rendezvous_rank(names, duty, count);
}

bool lives(const seed_entry& entry, const std::vector<node_info>& alive)
{
    return std::any_of(alive.begin(), alive.end(),
                       [&entry](const node_info& node) {
                           return node.id == entry.node &&
                                  node.peer == entry.peer;
                       });
}

} // namespace

bool has_duty(const std::vector<node_info>& nodes, const node_id& own,
              std::string_view duty, std::size_t count)
{
    const std::vector<node_info> alive = alive_only(nodes);
    for (const std::size_t index : ranked(alive, duty, count))
    {
        if (alive[index].id == own)
        {
            return true;
        }
    }
    return false;
}

std::optional<std::vector<seed_entry>>
renewed_seeds(const std::vector<seed_entry>& listed,
              const std::vector<node_info>& nodes)
{
    const std::vector<node_info> alive = alive_only(nodes);
    const std::size_t wanted = std::min(max_seed_entries, alive.size());
    std::vector<seed_entry> renewed;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(renewed),
                 [&alive](const seed_entry& entry)
                 { return lives(entry, alive); });
    if (2 * renewed.size() > wanted || wanted == 0)
    {
        return std::nullopt;
    }
    for (const std::size_t index : ranked(alive, "seeds", alive.size()))
    {
        const seed_entry entry{alive[index].id, alive[index].peer};
        const bool present =
            std::find(renewed.begin(), renewed.end(), entry) != renewed.end();
        if (!present && renewed.size() < wanted)
        {
            renewed.push_back(entry);
        }
    }
    return renewed;
}

std::optional<std::vector<seed_entry>>
seeds_with(const std::vector<seed_entry>& listed, const node_info& own)
{
    const seed_entry entry{own.id, own.peer};
    if (std::find(listed.begin(), listed.end(), entry) != listed.end())
    {
        return std::nullopt;
    }
    std::vector<seed_entry> extended{entry};
    for (const seed_entry& other : listed)
    {
        if (other.node != own.id && extended.size() < max_seed_entries)
        {
            extended.push_back(other);
        }
    }
    return extended;
}

} // namespace parsleytrack
