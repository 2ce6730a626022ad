#include "soak/workspace_checks.hpp"

#include <nlohmann/json.hpp>

#include <strings.h>

#include <algorithm>

namespace parsleytrack::soak
{

namespace
{

using nlohmann::json;

/// Of the limited workspace: low enough that its callers, with 18 requests a
/// second, would exceed the bound without a limit.
constexpr double limited_rate = 4;
constexpr double limited_burst = 5;
constexpr duration window = std::chrono::seconds(5);
/// The requirement of docs/design/demanding_load.md, part 2.
constexpr double allowed_factor = 1.1;
constexpr double allowed_excess = 20;

constexpr const char* limited_name = "limited";
constexpr const char* large_name = "large";
constexpr const char* other_name = "other";

net::http_header_list token(const std::string& key)
{
    return {{"Authorization", "Token " + key}};
}

/// The callers that online requests are drawn from. The first three keep their
/// keys, the last three belong to no workspace.
enum caller : std::size_t
{
    limited,
    large,
    other,
    taken,
    added,
    unknown,
    without_key,
    with_two_keys
};

const workspace_checks::credentials& find_caller(std::size_t number)
{
    static const std::vector<workspace_checks::credentials> callers = {
        {token("key-limited"), limited_name},
        {token("key-large"), large_name},
        {token("key-other"), other_name},
        {token("key-taken"), large_name},
        {token("key-added"), large_name},
        {token("key-unknown"), ""},
        {{}, ""},
        {{{"Authorization", "Token key-large"},
          {"authorization", "Token key-other"}},
         ""}};
    return callers.at(number);
}

std::vector<std::string> values_of(const net::http_header_list& headers,
                                   const char* name)
{
    std::vector<std::string> values;
    for (const auto& field : headers)
    {
        if (::strcasecmp(field.first.c_str(), name) == 0)
        {
            values.push_back(field.second);
        }
    }
    return values;
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

workspace_checks::workspace_checks(relay_support::relay_fleet& test_fleet,
                                   int node_count,
                                   random_source& random_numbers,
                                   violations& found)
    : fleet(test_fleet), nodes(node_count), random(random_numbers),
      problems(found)
{
}

workspace_checks::~workspace_checks()
{
    for (const auto& engine : this->fleet.engines)
    {
        engine->on_arrival = nullptr;
        engine->on_run = nullptr;
    }
    this->fleet.web->on_arrival = nullptr;
    this->fleet.web->on_run = nullptr;
}

std::string workspace_checks::configuration(int version) const
{
    json document = json::parse(
        relay_support::relay_fleet::configuration(version, "/plain/"));
    const char* changing = this->are_keys_changed ? "key-added" : "key-taken";
    document["tenants"] = {{{"name", limited_name},
                            {"apiKeys", {"key-limited"}},
                            {"ratePerS", limited_rate},
                            {"burst", limited_burst}},
                           {{"name", large_name},
                            {"apiKeys", {"key-large", changing}},
                            {"priority", 1}},
                           {{"name", other_name}, {"apiKeys", {"key-other"}}}};
    return document.dump();
}

void workspace_checks::start()
{
    for (int node = 0; node < this->nodes; ++node)
    {
        const bool asks = this->fleet.wait(
            [this, node]
            {
                return this->fleet
                           .call(node, "POST", "/stream/a", "begin", "body")
                           .status == 401;
            });
        if (!asks)
        {
            this->problems.add("nodes ask for keys",
                               "node " + std::to_string(node) + " does not");
        }
    }
    const auto watch = [this](relay_support::replica_stand_in& replica)
    {
        replica.on_arrival = [this](const net::http_header_list& headers)
        {
            if (!values_of(headers, "Authorization").empty())
            {
                this->problems.add("no replica receives a key",
                                   "an Authorization field");
            }
        };
        replica.on_run =
            [this](const std::string& id, const net::http_header_list& headers)
        {
            this->take_run(id, headers);
        };
    };
    for (const auto& engine : this->fleet.engines)
    {
        watch(*engine);
    }
    watch(*this->fleet.web);
}

net::http_header_list workspace_checks::begin_request(const std::string& id,
                                                      int node)
{
    // Out of 20: 7 limited, 3 large, 2 other, 3 taken, 2 added, 3 of none.
    static constexpr std::size_t choices[] = {
        limited, limited, limited, limited, limited,     limited,      limited,
        large,   large,   large,   other,   other,       taken,        taken,
        taken,   added,   added,   unknown, without_key, with_two_keys};
    std::size_t chosen = choices[this->random() % std::size(choices)];
    if (chosen == added && !this->are_keys_changed)
    {
        chosen = taken;
    }
    request& entry = this->requests[id];
    entry.caller = chosen;
    entry.node = node;
    entry.process = this->fleet.process(node).id();
    const auto changed = this->changed_processes.find(node);
    const bool is_changed = changed != this->changed_processes.end() &&
                            changed->second == entry.process;
    entry.is_taken = chosen == taken && (is_changed || this->is_in_force);
    net::http_header_list headers = find_caller(chosen).headers;
    if (this->random() % 4 == 0)
    {
        headers.emplace_back("parsleytrack-tenant", other_name);
    }
    return headers;
}

void workspace_checks::end_request(const std::string& id, int status)
{
    request& entry = this->requests.at(id);
    entry.has_ended = true;
    const std::string seen = id + " got " + std::to_string(status) +
                             " at node " + std::to_string(entry.node);
    // A process that has just started may know older configurations only.
    const bool is_same_process =
        this->fleet.process(entry.node).id() == entry.process;
    if (!is_same_process)
    {
        entry.is_taken = false;
    }
    if (is_success(status))
    {
        if (find_caller(entry.caller).workspace.empty())
        {
            this->problems.add("an unknown key is not served", seen);
        }
        if (entry.is_taken)
        {
            this->problems.add("a key that was taken away is not served", seen);
        }
        if (entry.caller == added && is_same_process)
        {
            this->changed_processes[entry.node] = entry.process;
        }
    }
    if (status == 401 && entry.caller <= other)
    {
        this->problems.add("a key that all configurations hold is accepted",
                           seen);
    }
}

workspace_checks::credentials workspace_checks::begin_job(const std::string& id)
{
    const auto& owner = find_caller(this->random() % (other + 1));
    this->owners[id] = owner.workspace;
    return owner;
}

net::http_header_list
workspace_checks::foreign_headers(const std::string& workspace)
{
    const std::size_t chosen = this->random() % (other + 1);
    const auto& drawn = find_caller(chosen);
    return drawn.workspace == workspace ? find_caller((chosen + 1) % 3).headers
                                        : drawn.headers;
}

void workspace_checks::end_foreign_call(const std::string& job, int status)
{
    const bool is_undecided = status >= 500 || status == 429 || status == 408;
    if (status != 404 && !is_undecided)
    {
        this->problems.add("a job exists for its workspace alone",
                           job + " got " + std::to_string(status));
    }
}

void workspace_checks::use_added_key(const std::string& prefix)
{
    this->fleet.caller_headers = find_caller(added).headers;
    for (int node = 0; node < this->nodes; ++node)
    {
        this->owners[prefix + std::to_string(node)] = large_name;
    }
}

void workspace_checks::take_run(const std::string& id,
                                const net::http_header_list& headers)
{
    std::string expected;
    const auto online = this->requests.find(id);
    if (online != this->requests.end())
    {
        ++online->second.runs;
        expected = find_caller(online->second.caller).workspace;
        if (online->second.caller == limited)
        {
            this->limited_runs.emplace_back(net::event_loop::now(), id);
        }
    }
    else
    {
        const auto owner = this->owners.find(id.substr(0, id.find('-')));
        expected = owner == this->owners.end() ? "" : owner->second;
    }
    if (expected.empty())
    {
        this->problems.add("no request runs without a key of a workspace", id);
        return;
    }
    const auto names = values_of(headers, "Parsleytrack-Tenant");
    if (names != std::vector<std::string>{expected})
    {
        this->problems.add("a run carries its caller's workspace",
                           id + " of " + expected + " as " +
                               json(names).dump());
    }
}

void workspace_checks::check_runs()
{
    int checked = 0;
    for (const auto& [id, entry] : this->requests)
    {
        checked += entry.is_taken && entry.has_ended ? 1 : 0;
        if (entry.is_taken && entry.has_ended && entry.runs > 0)
        {
            this->problems.add("a key that was taken away runs nothing",
                               id + " at node " + std::to_string(entry.node));
        }
    }
    this->counted = std::to_string(checked) + " requests with the taken key";
    this->check_windows();
}

void workspace_checks::check_windows()
{
    const double seconds = std::chrono::duration<double>(window).count();
    const double allowed =
        (limited_rate * seconds + limited_burst) * allowed_factor +
        allowed_excess;
    std::size_t most = 0;
    std::size_t distinct = 0;
    for (auto first = this->limited_runs.begin();
         first != this->limited_runs.end(); ++first)
    {
        const auto last =
            std::find_if(first, this->limited_runs.end(),
                         [first](const auto& run)
                         { return run.first >= first->first + window; });
        const auto count = static_cast<std::size_t>(last - first);
        if (count > most)
        {
            most = count;
            std::set<std::string> ids;
            std::for_each(first, last,
                          [&ids](const auto& run) { ids.insert(run.second); });
            distinct = ids.size();
        }
    }
    this->counted += ", at most " + std::to_string(most) + " runs of " +
                     std::to_string(distinct) + " limited requests in a window";
    if (static_cast<double>(most) > allowed)
    {
        this->problems.add("a workspace keeps to its limit",
                           std::to_string(most) + " runs of " +
                               std::to_string(distinct) +
                               " requests in a window of 5 s");
    }
}

} // namespace parsleytrack::soak
