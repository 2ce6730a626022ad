#pragma once

#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace parsleytrack
{

/// The models and adapters in force, as of one release version.
struct catalogue
{
    struct model
    {
        service_name service;
        std::set<std::string> versions;

        bool operator==(const model&) const = default;
    };

    release_version version;
    note_id note;
    std::map<model_name, model> models;
    /// Adapter name to its model and version.
    std::map<std::string, std::pair<model_name, std::string>> adapters;

    bool operator==(const catalogue&) const = default;
};

} // namespace parsleytrack
