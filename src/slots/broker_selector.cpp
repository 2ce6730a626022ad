#include "slots/broker_selector.hpp"

#include "decisions/high_capacity_nodes.hpp"
#include "decisions/nodes_with_replicas.hpp"
#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <cstdint>

namespace parsleytrack::slots
{

namespace
{

/// \returns The node with the highest score for the pool; the fallback if there
/// is no node.
const node_info& best_of(const std::vector<node_info>& candidates,
                         const std::string& pool, const node_info& fallback)
{
    const node_info* best = &fallback;
    std::uint64_t best_score = 0;
    for (const node_info& node : candidates)
    {
        const std::uint64_t score = rendezvous_score(node.id.str(), pool);
        if (score > best_score)
        {
            best = &node;
            best_score = score;
        }
    }
    return *best;
}

} // namespace

broker_selector::broker_selector(duration exclusion) : exclusion_time(exclusion)
{
}

bool broker_selector::mark_unresponsive(const node_id& node, time_point now)
{
    // Several requests may be pending when a node becomes unresponsive; their
    // failures must not extend the exclusion.
    const auto known = this->excluded_until.find(node);
    if (known != this->excluded_until.end() && now < known->second)
    {
        return false;
    }
    this->excluded_until[node] = now + this->exclusion_time;
    this->choices.clear();
    return true;
}

const node_info&
broker_selector::choose(const std::string& pool, const node_info& own,
                        const std::vector<node_info>& live_nodes,
                        time_point now)
{
    const auto known = this->choices.find(pool);
    if (known != this->choices.end() && now < known->second.valid_until)
    {
        return known->second.broker;
    }
    time_point valid_until = time_point::max();
    std::vector<node_info> candidates;
    for (const node_info& node : live_nodes)
    {
        const auto excluded = this->excluded_until.find(node.id);
        if (excluded == this->excluded_until.end() || now >= excluded->second)
        {
            candidates.push_back(node);
            continue;
        }
        valid_until = std::min(valid_until, excluded->second);
    }
    candidates = high_capacity_nodes(nodes_with_replicas(candidates));
    choice& chosen = this->choices[pool];
    chosen = choice{best_of(candidates, pool, own), valid_until};
    return chosen.broker;
}

node_info broker_selector::successor(const std::string& pool,
                                     const node_info& own,
                                     const std::vector<node_info>& live_nodes,
                                     time_point now)
{
    const node_id broker = this->choose(pool, own, live_nodes, now).id;
    std::vector<node_info> others = live_nodes;
    std::erase_if(others, [&broker](const node_info& node)
                  { return node.id == broker; });
    return best_of(high_capacity_nodes(nodes_with_replicas(others)), pool, own);
}

} // namespace parsleytrack::slots
