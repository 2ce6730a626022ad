#pragma once

#include "routing/configuration.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::routing
{

/// Looks up the routes of one version of the configuration. A lookup stays
/// cheap with many routes, since it only tries the prefixes of the path that
/// end at a slash.
class route_table
{
public:
    explicit route_table(configuration contents);

    /// \param host Requested host name, with or without a port.
    /// \param path Path without the query.
    /// \returns The route with the longest matching prefix; nullptr when none
    /// matches.
    const route* find(std::string_view host, std::string_view path) const;

    /// \returns The route of that name, or nullptr.
    const route* find_by_name(const std::string& name) const;

    const configuration& contents() const { return this->current; }

private:
    configuration current;
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
             std::less<>>
        by_host;
};

} // namespace parsleytrack::routing
