#include "cli/workspace_summary.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

namespace
{

using nlohmann::json;

struct request_sums
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
};

struct workspace_summary
{
    /// The entry of the newest configuration.
    json entry;
    std::int64_t version = -1;
    request_sums requests;
    std::uint64_t nodes = 0;
};

/// \returns A field of a document, or null if it has none or is no object.
json field_of(const json& document, const char* name)
{
    return document.is_object() && document.contains(name) ? document.at(name)
                                                           : json();
}

std::uint64_t count_of(const json& document, const char* name)
{
    const json value = field_of(document, name);
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

request_sums requests_of(const json& document)
{
    return {count_of(document, "granted"), count_of(document, "refused")};
}

void add(request_sums& sums, const request_sums& more)
{
    sums.granted += more.granted;
    sums.refused += more.refused;
}

/// Adds the workspaces that a node lists.
///
/// \returns The sums of their requests.
request_sums add_node(std::map<std::string, workspace_summary>& summaries,
                      const json& status)
{
    request_sums listed;
    const auto version = static_cast<std::int64_t>(
        count_of(field_of(status, "configuration"), "version"));
    for (const json& entry : status.at("workspaces"))
    {
        const json name = field_of(entry, "name");
        if (!name.is_string())
        {
            continue;
        }
        workspace_summary& summary = summaries[name.get<std::string>()];
        if (version > summary.version)
        {
            summary.entry = entry;
            summary.version = version;
        }
        summary.nodes += 1;
        add(summary.requests, requests_of(entry));
        add(listed, requests_of(entry));
    }
    return listed;
}

json describe(const workspace_summary& summary)
{
    const json& entry = summary.entry;
    return {{"name", field_of(entry, "name")},
            {"rate", field_of(entry, "rate")},
            {"burst", field_of(entry, "burst")},
            {"priority", field_of(entry, "priority")},
            {"keys", field_of(entry, "keys")},
            {"granted", summary.requests.granted},
            {"refused", summary.requests.refused},
            {"nodes", summary.nodes}};
}

json describe_all(const std::map<std::string, workspace_summary>& summaries)
{
    std::vector<const workspace_summary*> order;
    order.reserve(summaries.size());
    for (const auto& [name, summary] : summaries)
    {
        order.push_back(&summary);
    }
    // The summaries are in the order of their names.
    std::stable_sort(
        order.begin(), order.end(),
        [](const workspace_summary* left, const workspace_summary* right)
        {
            return left->requests.granted + left->requests.refused >
                   right->requests.granted + right->requests.refused;
        });
    json list = json::array();
    for (const workspace_summary* summary : order)
    {
        list.push_back(describe(*summary));
    }
    return list;
}

/// \returns The difference, or 0 if a node has listed more than its total.
std::uint64_t remainder(std::uint64_t total, std::uint64_t listed)
{
    return total > listed ? total - listed : 0;
}

} // namespace

json summarize_workspaces(const json& statuses)
{
    std::map<std::string, workspace_summary> summaries;
    request_sums others;
    std::uint64_t nodes = 0;
    std::uint64_t without_report = 0;
    std::uint64_t window_ms = 0;
    for (const json& status : statuses)
    {
        if (!field_of(status, "workspaces").is_array())
        {
            without_report += 1;
            continue;
        }
        nodes += 1;
        const json totals = field_of(status, "workspace_totals");
        const request_sums total = requests_of(totals);
        const request_sums listed = add_node(summaries, status);
        add(others, {remainder(total.granted, listed.granted),
                     remainder(total.refused, listed.refused)});
        window_ms = std::max(window_ms, count_of(totals, "window_ms"));
    }
    return {
        {"workspaces", describe_all(summaries)},
        {"others", {{"granted", others.granted}, {"refused", others.refused}}},
        {"nodes", nodes},
        {"nodes_without_report", without_report},
        {"window_ms", window_ms}};
}

} // namespace parsleytrack::cli
