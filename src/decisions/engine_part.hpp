#pragma once

#include <compare>
#include <string>

namespace parsleytrack
{

/// One version of a model or adapter, as an engine loads it.
struct engine_part
{
    enum class kind
    {
        model,
        adapter
    };

    kind what = kind::model;
    std::string name;
    std::string version;
    /// The model of an adapter; empty for a model, or where it is not known.
    std::string model;

    auto operator<=>(const engine_part&) const = default;
};

/// \returns "model NAME VERSION" or "adapter NAME VERSION".
std::string to_string(const engine_part& part);

} // namespace parsleytrack
