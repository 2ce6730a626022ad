#include "cli/command.hpp"
#include "cli/flags.hpp"
#include "cli/output.hpp"
#include "cli/table.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace parsleytrack::cli
{

namespace
{

using json = nlohmann::json;

constexpr auto poll_interval = std::chrono::milliseconds(500);

net::http_request get_request(const std::string& target)
{
    net::http_request request;
    request.target = target;
    return request;
}

std::string join(const json& texts)
{
    std::string joined;
    for (const json& text : texts)
    {
        joined += joined.empty() ? "" : ", ";
        joined += cell(text);
    }
    return joined;
}

void print_release(const json& release)
{
    std::cout << "version " << cell(release, "version") << ", note "
              << cell(release, "note_id") << '\n';
    const json contents = release.value("catalogue", json::object());
    table rows({"KIND", "NAME", "VERSIONS", "SERVICE OR MODEL"});
    for (const json& model : contents.value("models", json::array()))
    {
        rows.add({"model", cell(model, "name"),
                  join(model.value("versions", json::array())),
                  cell(model, "service")});
    }
    for (const json& adapter : contents.value("adapters", json::array()))
    {
        rows.add({"adapter", cell(adapter, "name"), cell(adapter, "version"),
                  cell(adapter, "model")});
    }
    rows.print(std::cout);
}

void print_status(const json& status)
{
    std::cout << "version " << cell(status, "version") << " in force here\n";
    table nodes({"NODE", "VERSION"});
    for (const json& node : status.value("nodes", json::array()))
    {
        nodes.add({cell(node, "id"), cell(node, "version")});
    }
    nodes.print(std::cout);
    const json engines = status.value("engines", json::array());
    if (engines.empty())
    {
        std::cout << "no engine has anything left to load or unload\n";
        return;
    }
    table rows({"ENGINE", "TO LOAD", "TO UNLOAD", "WHY"});
    for (const json& engine : engines)
    {
        rows.add({cell(engine, "replica"),
                  join(engine.value("to_load", json::array())),
                  join(engine.value("to_unload", json::array())),
                  cell(engine, "reason")});
    }
    rows.print(std::cout);
}

exit_code show_release(node_client& nodes, const std::vector<std::string>&)
{
    return print_response(nodes.send_request(get_request("/v1/release")),
                          print_release);
}

exit_code show_status(node_client& nodes, const std::vector<std::string>&)
{
    return print_response(nodes.send_request(get_request("/v1/release/status")),
                          print_status);
}

/// \returns Whether every node listed in a release status has at least the
/// version; false when none is listed.
bool is_in_force_everywhere(const json& status, std::int64_t version)
{
    const json nodes = status.value("nodes", json::array());
    for (const json& node : nodes)
    {
        if (node.value("version", std::int64_t{0}) < version)
        {
            return false;
        }
    }
    return !nodes.empty();
}

exit_code wait_until_in_force(node_client& nodes, std::int64_t version)
{
    const auto wait_deadline = std::chrono::steady_clock::now() +
                               std::chrono::seconds(FLAGS_timeout_s);
    while (std::chrono::steady_clock::now() < wait_deadline)
    {
        const result<node_response> response =
            nodes.send_request(get_request("/v1/release/status"));
        if (response.has_error() || !response.value().ok())
        {
            return print_failure(response);
        }
        const json status = json::parse(response.value().body, nullptr, false);
        if (status.is_object() && is_in_force_everywhere(status, version))
        {
            std::cerr << "in force on all nodes\n";
            return exit_code::done;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    std::cerr << "not in force on all nodes yet; see: parsleytrack release "
                 "status\n";
    return exit_code::refused;
}

exit_code apply_release(node_client& nodes,
                        const std::vector<std::string>& arguments)
{
    const auto note = read_file(arguments.at(0));
    if (!note)
    {
        return exit_code::usage;
    }
    std::int64_t expected = FLAGS_expected_version;
    if (expected < 0)
    {
        const result<node_response> current =
            nodes.send_request(get_request("/v1/release"));
        if (current.has_error() || !current.value().ok())
        {
            return print_failure(current);
        }
        const json body = json::parse(current.value().body, nullptr, false);
        expected =
            body.is_object() ? body.value("version", std::int64_t{0}) : 0;
    }
    net::http_request request;
    request.method = "PUT";
    request.target = "/v1/release?expected_version=" + std::to_string(expected);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = *note;
    std::int64_t version = 0;
    const exit_code outcome =
        print_response(nodes.send_request(request),
                       [&version](const json& body)
                       {
                           version = body.value("version", std::int64_t{0});
                           std::cout << "accepted as version " << version
                                     << '\n';
                       });
    if (outcome != exit_code::done || !FLAGS_wait)
    {
        return outcome;
    }
    return wait_until_in_force(nodes, version);
}

} // namespace

std::vector<command> release_commands()
{
    return {
        {{"release", "show"}, {}, "Shows the release in force.", show_release},
        {{"release", "apply"},
         {"FILE"},
         "Applies a release note; --expected_version, --wait.",
         apply_release},
        {{"release", "status"},
         {},
         "Shows each node's version and what engines still load or unload.",
         show_status},
    };
}

} // namespace parsleytrack::cli
