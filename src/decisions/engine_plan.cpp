#include "decisions/engine_plan.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

bool is_same_version(const engine_part& left, const engine_part& right)
{
    return left.what == right.what && left.name == right.name &&
           left.version == right.version;
}

bool names_version(const std::set<engine_part>& parts, const engine_part& part)
{
    return std::any_of(parts.begin(), parts.end(),
                       [&part](const engine_part& one)
                       { return is_same_version(one, part); });
}

} // namespace

std::string to_string(const engine_part& part)
{
    const bool is_model = part.what == engine_part::kind::model;
    return (is_model ? "model " : "adapter ") + part.name + " " + part.version;
}

std::set<engine_part> desired_parts(const catalogue& release,
                                    const service_name& service)
{
    std::set<engine_part> parts;
    for (const auto& [name, model] : release.models)
    {
        if (model.service != service)
        {
            continue;
        }
        for (const std::string& version : model.versions)
        {
            parts.insert(
                {engine_part::kind::model, name.str(), version, std::string()});
        }
    }
    for (const auto& [name, adapter] : release.adapters)
    {
        const auto model = release.models.find(adapter.first);
        if (model != release.models.end() && model->second.service == service)
        {
            parts.insert({engine_part::kind::adapter, name, adapter.second,
                          adapter.first.str()});
        }
    }
    return parts;
}

engine_plan make_engine_plan(const std::set<engine_part>& desired,
                             const engine_state& state)
{
    engine_plan plan;
    for (const engine_part& part : desired)
    {
        if (!state.loaded.contains(part) && !names_version(state.loading, part))
        {
            plan.load.push_back(part);
        }
    }
    for (const engine_part& part : state.loaded)
    {
        if (!desired.contains(part))
        {
            plan.unload.push_back(part);
        }
    }
    for (const engine_part& part : state.loading)
    {
        if (!names_version(desired, part))
        {
            plan.unload.push_back(part);
        }
    }
    return plan;
}

} // namespace parsleytrack
