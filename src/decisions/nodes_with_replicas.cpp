#include "decisions/nodes_with_replicas.hpp"

#include <algorithm>
#include <iterator>

namespace parsleytrack
{

std::vector<node_info> nodes_with_replicas(const std::vector<node_info>& nodes)
{
    std::vector<node_info> found;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(found),
                 [](const node_info& node) { return node.reaches_replicas; });
    return found.empty() ? nodes : found;
}

} // namespace parsleytrack
