#include "routing/service_choice.hpp"

#include <algorithm>
#include <random>
#include <vector>

namespace parsleytrack::routing
{

bool includes_service(const route& target, const service_name& service)
{
    return std::any_of(target.services.begin(), target.services.end(),
                       [&service](const weighted_service& choice)
                       { return choice.service == service; });
}

bool keeps_service(const route& target, const service_name& service,
                   const replica_registry& replicas)
{
    if (!includes_service(target, service))
    {
        return false;
    }
    return target.services.size() == 1 || replicas.has_usable(service) ||
           std::none_of(target.services.begin(), target.services.end(),
                        [&replicas](const weighted_service& choice)
                        { return replicas.has_usable(choice.service); });
}

const service_name& first_service(const route& target,
                                  const replica_registry& replicas)
{
    for (const weighted_service& choice : target.services)
    {
        if (replicas.has_usable(choice.service))
        {
            return choice.service;
        }
    }
    return target.services.front().service;
}

const service_name& draw_service(const route& target,
                                 const replica_registry& replicas,
                                 random_source& random)
{
    if (target.services.size() == 1)
    {
        return target.services.front().service;
    }
    std::vector<int> all;
    std::vector<int> usable;
    for (const weighted_service& choice : target.services)
    {
        all.push_back(choice.weight);
        usable.push_back(replicas.has_usable(choice.service) ? choice.weight
                                                             : 0);
    }
    const bool has_usable = std::any_of(usable.begin(), usable.end(),
                                        [](int weight) { return weight > 0; });
    const std::vector<int>& weights = has_usable ? usable : all;
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    return target.services.at(draw(random)).service;
}

} // namespace parsleytrack::routing
