#include "cli/command.hpp"
#include "cli/flags.hpp"
#include "cli/output.hpp"
#include "cli/table.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace parsleytrack::cli
{

namespace
{

using json = nlohmann::json;

void print_nodes(const json& body)
{
    table rows({"NODE", "STATE", "ZONE", "HTTP", "KEEPER"});
    for (const json& node : body.value("nodes", json::array()))
    {
        rows.add({cell(node, "id"), cell(node, "state"),
                  cell(node, "availability_zone"), cell(node, "http"),
                  cell(node, "keeper")});
    }
    rows.print(std::cout);
}

void print_addresses(const json& body)
{
    table rows({"HOST", "PORT", "ZONE"});
    for (const json& address : body.value("addresses", json::array()))
    {
        rows.add({cell(address, "host"), cell(address, "port"),
                  cell(address, "availability_zone")});
    }
    rows.print(std::cout);
    std::cout << "valid for " << cell(body, "valid_for_s") << " s\n";
}

exit_code show_nodes(node_client& nodes, const std::vector<std::string>&)
{
    net::http_request request;
    request.target = "/v1/nodes";
    return print_response(nodes.send_request(request), print_nodes);
}

exit_code show_addresses(node_client& nodes, const std::vector<std::string>&)
{
    if (FLAGS_service.empty())
    {
        std::cerr << "--service NAME is needed\n";
        return exit_code::usage;
    }
    net::http_request request;
    request.target = "/v1/addresses?service=" + FLAGS_service;
    return print_response(nodes.send_request(request), print_addresses);
}

} // namespace

std::vector<command> fleet_commands()
{
    return {
        {{"nodes"}, {}, "Shows the nodes and their states.", show_nodes},
        {{"addresses"},
         {},
         "Shows the addresses that callers of a service connect to; --service.",
         show_addresses},
    };
}

} // namespace parsleytrack::cli
