#include "decisions/restart_detector.hpp"

namespace parsleytrack
{

namespace
{

/// A process begins with the wall clock's microseconds as its incarnation and
/// adds one for each suspicion that it refutes.
constexpr incarnation_number smallest_restart_step(100'000);

} // namespace

std::set<node_id>
restart_detector::update(const std::map<node_id, node_info>& nodes)
{
    std::set<node_id> restarted;
    for (const auto& [id, node] : nodes)
    {
        const auto [entry, is_new] =
            this->known.try_emplace(id, node.incarnation);
        if (!is_new &&
            node.incarnation - entry->second >= smallest_restart_step)
        {
            restarted.insert(id);
        }
        entry->second = node.incarnation;
    }
    std::erase_if(this->known, [&nodes](const auto& entry)
                  { return nodes.count(entry.first) == 0; });
    return restarted;
}

} // namespace parsleytrack
