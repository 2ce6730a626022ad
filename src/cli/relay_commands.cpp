#include "cli/command.hpp"
#include "cli/flags.hpp"
#include "cli/output.hpp"
#include "cli/table.hpp"
#include "cli/workspace_summary.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace parsleytrack::cli
{

namespace
{

using json = nlohmann::json;

net::http_request status_request()
{
    net::http_request request;
    request.target = "/status";
    return request;
}

/// Fetches the status of one node and of every node in its list; all serve it
/// on the same port. Nodes that do not respond are listed with the state that
/// the first node reports for them.
result<json> fetch_all_statuses(node_client& nodes)
{
    const auto first = nodes.send_request(status_request());
    if (first.has_error())
    {
        return first.error();
    }
    const json own = json::parse(first.value().body, nullptr, false);
    if (!first.value().ok() || !own.is_object())
    {
        return error{error_code::bad_request,
                     "the address does not serve a status; pass the metrics "
                     "address of a relay node",
                     ran_state::no,
                     {}};
    }
    json all = json::array();
    for (const json& node : own.value("nodes", json::array()))
    {
        const std::string id = node.value("id", "");
        if (id == own.value("node", ""))
        {
            all.push_back(own);
            continue;
        }
        const auto response =
            nodes.send_to_host(node.value("host", ""), status_request());
        const json status =
            response.has_value()
                ? json::parse(response.value().body, nullptr, false)
                : json();
        if (status.is_object())
        {
            all.push_back(status);
            continue;
        }
        all.push_back(
            {{"node", id},
             {"silent", true},
             {"state", node.value("state", "")},
             {"availability_zone", node.value("availability_zone", "")}});
    }
    return all;
}

/// Prints the statuses of all nodes: as a JSON array with --json, otherwise
/// with a function.
exit_code print_all_statuses(node_client& nodes,
                             const std::function<void(const json&)>& print)
{
    const auto all = fetch_all_statuses(nodes);
    if (all.has_error())
    {
        return print_failure(all.error());
    }
    if (FLAGS_json)
    {
        std::cout << all.value().dump() << '\n';
        return exit_code::done;
    }
    print(all.value());
    return exit_code::done;
}

/// \returns What a node that has answered does.
std::string state_of(const json& node)
{
    if (node.value("stopping", false))
    {
        return "stopping";
    }
    return node.value("stranded", false) ? "reaches no replica" : "serving";
}

void print_nodes(const json& all)
{
    table rows({"NODE", "BUILD", "ZONE", "STATE", "CONFIGURATION",
                "CONFIRMED_MS", "STORE", "REPLICAS", "REPLICAS_MS", "JOBS"});
    for (const json& node : all)
    {
        if (node.value("silent", false))
        {
            rows.add({cell(node, "node"), "-", cell(node, "availability_zone"),
                      "silent, held " + cell(node, "state"), "-", "-", "-", "-",
                      "-", "-"});
            continue;
        }
        const json& configuration = node.at("configuration");
        const bool reachable = node.at("store").value("reachable", false);
        rows.add({cell(node, "node"), cell(node, "build"),
                  cell(node, "availability_zone"), state_of(node),
                  cell(configuration, "version"), cell(configuration, "age_ms"),
                  reachable ? "reached" : "out of reach",
                  std::to_string(node.at("replicas").size()),
                  cell(node, "replicas_age_ms"),
                  std::to_string(node.at("jobs").size())});
    }
    rows.print(std::cout);
}

void print_replicas(const json& status)
{
    table rows(
        {"REPLICA", "SERVICE", "VERSION", "STATE", "ADDRESS", "ZONE", "SLOTS"});
    for (const json& entry : status.value("replicas", json::array()))
    {
        rows.add({cell(entry, "id"), cell(entry, "service"),
                  cell(entry, "version"), cell(entry, "state"),
                  cell(entry, "address"), cell(entry, "availability_zone"),
                  cell(entry, "slots")});
    }
    rows.print(std::cout);
    std::cout << "confirmed " << cell(status, "replicas_age_ms")
              << " ms ago, as " << cell(status, "node") << " knows\n";
}

void print_jobs(const json& all)
{
    table rows(
        {"JOB", "ROUTE", "OWNER", "ENDED", "ITEMS", "CANCELLED", "AGE_MS"});
    for (const json& node : all)
    {
        for (const json& job : node.value("jobs", json::array()))
        {
            rows.add({cell(job, "id"), cell(job, "route"), cell(node, "node"),
                      cell(job, "ended"), cell(job, "items"),
                      cell(job, "cancelled"), cell(job, "age_ms")});
        }
    }
    rows.print(std::cout);
}

void print_slots(const json& all)
{
    table rows({"POOL", "BROKER", "SLOTS", "FREE", "ONLINE", "BATCH",
                "WAITING_ONLINE", "WAITING_BATCH", "MEAN_HOLD_MS"});
    for (const json& node : all)
    {
        for (const json& pool : node.value("pools", json::array()))
        {
            rows.add({cell(pool, "pool"), cell(node, "node"),
                      cell(pool, "slots"), cell(pool, "free"),
                      cell(pool, "online"), cell(pool, "batch"),
                      cell(pool, "waiting_online"), cell(pool, "waiting_batch"),
                      cell(pool, "mean_hold_ms")});
        }
    }
    rows.print(std::cout);
}

void print_workspaces(const json& summary)
{
    table rows({"WORKSPACE", "RATE", "BURST", "PRIORITY", "KEYS", "GRANTED",
                "REFUSED", "NODES"});
    for (const json& entry : summary.at("workspaces"))
    {
        rows.add({cell(entry, "name"), cell(entry, "rate"),
                  cell(entry, "burst"), cell(entry, "priority"),
                  cell(entry, "keys"), cell(entry, "granted"),
                  cell(entry, "refused"), cell(entry, "nodes")});
    }
    const json& others = summary.at("others");
    rows.add({"(not listed)", "-", "-", "-", "-", cell(others, "granted"),
              cell(others, "refused"), "-"});
    rows.print(std::cout);
    std::cout << "requests of the last " << cell(summary, "window_ms")
              << " ms at " << cell(summary, "nodes") << " nodes; "
              << cell(summary, "nodes_without_report")
              << " nodes without a report\n";
}

exit_code show_workspaces(node_client& nodes)
{
    const auto all = fetch_all_statuses(nodes);
    if (all.has_error())
    {
        return print_failure(all.error());
    }
    const json summary = summarize_workspaces(all.value());
    if (FLAGS_json)
    {
        std::cout << summary.dump() << '\n';
        return exit_code::done;
    }
    print_workspaces(summary);
    return exit_code::done;
}

} // namespace

std::vector<command> relay_commands()
{
    return {
        {{"relay", "nodes"},
         {},
         "Shows each relay node, its configuration and whether it reaches the "
         "store; --nodes takes metrics addresses.",
         [](node_client& nodes, const std::vector<std::string>&)
         {
             return print_all_statuses(nodes, print_nodes);
         }},
        {{"relay", "replicas"},
         {},
         "Shows the replicas known to one relay node.",
         [](node_client& nodes, const std::vector<std::string>&)
         {
             return print_response(nodes.send_request(status_request()),
                                   print_replicas);
         }},
        {{"relay", "jobs"},
         {},
         "Shows the batch jobs that relay nodes run, and their progress.",
         [](node_client& nodes, const std::vector<std::string>&)
         {
             return print_all_statuses(nodes, print_jobs);
         }},
        {{"relay", "slots"},
         {},
         "Shows the slots of each replica pool and the requests waiting for "
         "them.",
         [](node_client& nodes, const std::vector<std::string>&)
         {
             return print_all_statuses(nodes, print_slots);
         }},
        {{"workspaces"},
         {},
         "Shows the workspaces with the most requests at relay nodes, their "
         "limits, and the requests granted and refused; --nodes takes metrics "
         "addresses.",
         [](node_client& nodes, const std::vector<std::string>&)
         {
             return show_workspaces(nodes);
         }},
    };
}

} // namespace parsleytrack::cli
