#include "decisions/high_capacity_nodes.hpp"

#include <algorithm>

namespace parsleytrack
{

std::vector<node_info> high_capacity_nodes(std::vector<node_info> nodes)
{
    int most = 0;
    for (const node_info& node : nodes)
    {
        most = std::max(most, node.capacity);
    }
    std::erase_if(nodes, [most](const node_info& node)
                  { return node.capacity * 2 < most; });
    return nodes;
}

} // namespace parsleytrack
