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

constexpr auto poll_interval = std::chrono::seconds(1);

std::string job_target(const std::string& id, const char* suffix = "")
{
    return "/v1/batches/" + id + suffix;
}

result<node_response> get_job(node_client& nodes, const std::string& id)
{
    net::http_request request;
    request.target = job_target(id);
    return nodes.send_request(request);
}

void print_job(const json& job)
{
    table rows({"FIELD", "VALUE"});
    for (const auto& [field, value] : job.items())
    {
        rows.add({field, cell(value)});
    }
    rows.print(std::cout);
}

bool has_ended(const json& job)
{
    const std::string status = cell(job, "status");
    return status == "completed" || status == "cancelled" || status == "failed";
}

exit_code wait_for_job(node_client& nodes, const std::string& id)
{
    while (true)
    {
        const result<node_response> response = get_job(nodes, id);
        if (response.has_error() || !response.value().ok())
        {
            return print_failure(response);
        }
        const json job = json::parse(response.value().body, nullptr, false);
        std::cerr << "job " << id << ": " << cell(job, "status") << ", "
                  << cell(job, "ended_items") << " of " << cell(job, "items")
                  << " items ended\n";
        if (has_ended(job))
        {
            return cell(job, "status") == "completed" ? exit_code::done
                                                      : exit_code::refused;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

exit_code submit_job(node_client& nodes,
                     const std::vector<std::string>& arguments)
{
    if (FLAGS_deadline_s <= 0)
    {
        std::cerr << "a batch job needs --deadline_s SECONDS\n";
        return exit_code::usage;
    }
    const auto items = read_file(arguments.at(0));
    if (!items)
    {
        return exit_code::usage;
    }
    net::http_request request;
    request.method = "POST";
    request.target =
        "/v1/batches?deadline_s=" + std::to_string(FLAGS_deadline_s);
    request.headers = {{"Content-Type", "application/jsonl"},
                       {"X-Workspace", FLAGS_workspace}};
    if (!FLAGS_key.empty())
    {
        request.headers.emplace_back("Idempotency-Key", FLAGS_key);
    }
    request.body = *items;
    std::string id;
    const exit_code outcome =
        print_response(nodes.send_request(request),
                       [&id](const json& job)
                       {
                           id = cell(job, "id");
                           std::cout << "accepted as job " << id << ", "
                                     << cell(job, "items") << " items\n";
                       });
    if (outcome != exit_code::done || !FLAGS_wait || id.empty())
    {
        return outcome;
    }
    return wait_for_job(nodes, id);
}

exit_code show_job(node_client& nodes,
                   const std::vector<std::string>& arguments)
{
    return print_response(get_job(nodes, arguments.at(0)), print_job);
}

exit_code print_results(node_client& nodes,
                        const std::vector<std::string>& arguments)
{
    const result<node_response> response =
        nodes.download(job_target(arguments.at(0), "/results"),
                       [](std::string_view piece) { std::cout << piece; });
    std::cout.flush();
    if (response.has_error() || !response.value().ok())
    {
        return print_failure(response);
    }
    return exit_code::done;
}

exit_code cancel_job(node_client& nodes,
                     const std::vector<std::string>& arguments)
{
    net::http_request request;
    request.method = "POST";
    request.target = job_target(arguments.at(0), "/cancel");
    // Cancelling is idempotent; the key allows a retry on another node.
    request.headers = {{"Idempotency-Key", "cancel-" + arguments.at(0)}};
    return print_response(nodes.send_request(request), print_job);
}

} // namespace

std::vector<command> job_commands()
{
    return {
        {{"job", "submit"},
         {"FILE"},
         "Submits a JSONL file; --deadline_s, --workspace, --key, --wait.",
         submit_job},
        {{"job", "show"}, {"ID"}, "Shows the progress of a job.", show_job},
        {{"job", "results"},
         {"ID"},
         "Prints one line of JSON for each item.",
         print_results},
        {{"job", "cancel"}, {"ID"}, "Cancels a job.", cancel_job},
    };
}

} // namespace parsleytrack::cli
