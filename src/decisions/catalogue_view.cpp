#include "decisions/catalogue_view.hpp"

#include <utility>

namespace parsleytrack
{

bool catalogue_view::apply(catalogue newer)
{
    if (newer.version <= this->in_force.version)
    {
        return false;
    }
    this->in_force = std::move(newer);
    for (const auto& callback : this->subscribers)
    {
        callback();
    }
    return true;
}

service_name catalogue_view::service_of(const std::string& name) const
{
    const auto adapter = this->in_force.adapters.find(name);
    const model_name wanted = adapter == this->in_force.adapters.end()
                                  ? model_name(name)
                                  : adapter->second.first;
    const auto found = this->in_force.models.find(wanted);
    if (found == this->in_force.models.end())
    {
        return service_name();
    }
    return found->second.service;
}

void catalogue_view::subscribe(std::function<void()> callback)
{
    this->subscribers.push_back(std::move(callback));
}

} // namespace parsleytrack
