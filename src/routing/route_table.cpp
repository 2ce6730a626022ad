#include "routing/route_table.hpp"

#include <utility>

namespace parsleytrack::routing
{

route_table::route_table(configuration contents) : current(std::move(contents))
{
    for (std::size_t index = 0; index < this->current.routes.size(); ++index)
    {
        const route& entry = this->current.routes[index];
        this->by_host[entry.host][entry.prefix] = index;
    }
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto prefixes = this->by_host.find(host.substr(0, host.find(':')));
    if (prefixes == this->by_host.end())
    {
        return nullptr;
    }
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        const auto found = prefixes->second.find(path.substr(0, end + 1));
        if (found != prefixes->second.end())
        {
            return &this->current.routes[found->second];
        }
    }
    return nullptr;
}

const route* route_table::find_by_name(const std::string& name) const
{
    for (const route& entry : this->current.routes)
    {
        if (entry.name == name)
        {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace parsleytrack::routing
