#include "decisions/address_picker.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr double keeper_weight = 0.25;
/// A node with so many times the mean load, and some more, comes last.
constexpr double overload_factor = 2;
constexpr double overload_slack = 8;

struct ranked_node
{
    const node_info* node = nullptr;
    bool far = false;
    double key = 0;
};

double mean_load(const std::vector<address_candidate>& candidates)
{
    double sum = 0;
    for (const address_candidate& candidate : candidates)
    {
        sum += candidate.load;
    }
    return candidates.empty() ? 0
                              : sum / static_cast<double>(candidates.size());
}

/// Sorting by this key draws without replacement, in proportion to weight.
double draw_key(const address_candidate& candidate, random_source& random)
{
    const double weight = (candidate.node.keeper ? keeper_weight : 1.0) /
                          (1.0 + std::max(0, candidate.load));
    std::exponential_distribution<double> draw(weight);
    return draw(random);
}

} // namespace

std::vector<node_info>
address_picker::pick(const std::vector<address_candidate>& candidates,
                     const availability_zone_name& zone,
                     random_source& random) const
{
    const double limit =
        overload_factor * mean_load(candidates) + overload_slack;
    std::vector<ranked_node> ranked;
    for (const address_candidate& candidate : candidates)
    {
        const node_info& node = candidate.node;
        if (!node.entry || node.state != node_state::alive)
        {
            continue;
        }
        const bool far =
            node.availability_zone != zone || candidate.load > limit;
        ranked.push_back(ranked_node{&node, far, draw_key(candidate, random)});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_node& left, const ranked_node& right) {
                  return std::pair(left.far, left.key) <
                         std::pair(right.far, right.key);
              });
    const auto first_far =
        std::find_if(ranked.begin(), ranked.end(),
                     [](const ranked_node& entry) { return entry.far; });
    const auto near_count =
        static_cast<std::size_t>(first_far - ranked.begin());
    if (first_far != ranked.end() && near_count >= max_addresses)
    {
        std::iter_swap(ranked.begin() + max_addresses - 1, first_far);
    }
    std::vector<node_info> chosen;
    for (const ranked_node& entry : ranked)
    {
        if (chosen.size() == max_addresses)
        {
            break;
        }
        check_invariant(entry.node->state == node_state::alive,
                        "only living nodes are named to callers");
        chosen.push_back(*entry.node);
    }
    return chosen;
}

} // namespace parsleytrack
