#include "decisions/replica_list.hpp"

#include <xxhash.h>

#include <string>

namespace parsleytrack
{

std::uint64_t hash_of(const replica_list& list)
{
    std::string text;
    for (const auto& [id, replica] : list.replicas)
    {
        for (const std::string& part :
             {id.str(), replica.service.str(), to_string(replica.address),
              replica.availability_zone.str()})
        {
            text += part;
            text += '\n';
        }
        text += replica.state == replica_state::live ? "live\n" : "leaving\n";
    }
    return XXH64(text.data(), text.size(), 0);
}

} // namespace parsleytrack
