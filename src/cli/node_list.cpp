#include "cli/node_list.hpp"

#include "units/endpoint_parser.hpp"

#include <sstream>

namespace parsleytrack::cli
{

std::optional<std::vector<endpoint>> parse_nodes(const std::string& text)
{
    std::vector<endpoint> nodes;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        endpoint node;
        if (!parse_endpoint(part, node))
        {
            return std::nullopt;
        }
        nodes.push_back(node);
    }
    if (nodes.empty())
    {
        return std::nullopt;
    }
    return nodes;
}

} // namespace parsleytrack::cli
