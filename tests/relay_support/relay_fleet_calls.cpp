// What tests send to the nodes, as callers and operators.

#include "relay_support/relay_fleet.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::relay_support
{

using nlohmann::json;

void relay_fleet::start_call(int number, const std::string& method,
                             const std::string& path, const std::string& id,
                             const std::string& body,
                             std::shared_ptr<response> into)
{
    net::http_request request;
    request.method = method;
    request.target = path;
    request.body = body;
    request.total_timeout = wait_timeout;
    request.allow_connection_reuse = false;
    request.headers = {{"Host", "h"}, {"Parsleytrack-Wait-Ms", "500"}};
    if (!id.empty())
    {
        request.headers.emplace_back("Parsleytrack-Request-Id", id);
        request.headers.emplace_back("Parsleytrack-Deadline-Ms", "5000");
    }
    if (!this->prompt_parts.empty())
    {
        request.headers.emplace_back("Parsleytrack-Prompt-Prefix",
                                     this->prompt_parts);
    }
    request.headers.insert(request.headers.end(), this->caller_headers.begin(),
                           this->caller_headers.end());
    const endpoint& target =
        number < 0 ? this->nodes.front().directory
                   : this->nodes.at(static_cast<std::size_t>(number)).front;
    into->status = -1;
    this->calls[this->next_call++] =
        this->client.send(target, request,
                          {{},
                           {},
                           [into](const result<net::http_response>& end)
                           {
                               into->status =
                                   end.has_value() ? end.value().status : 0;
                               if (end.has_value())
                               {
                                   into->headers = end.value().headers;
                                   into->body = end.value().body;
                               }
                           }});
}

relay_fleet::response relay_fleet::call(int number, const std::string& method,
                                        const std::string& path,
                                        const std::string& id,
                                        const std::string& body)
{
    const auto into = std::make_shared<response>();
    this->start_call(number, method, path, id, body, into);
    while (into->status < 0)
    {
        this->loop.run_for(std::chrono::milliseconds(10));
    }
    return *into;
}

std::string relay_fleet::metrics_text(int number)
{
    return this->operator_page(number, "/metrics");
}

nlohmann::json relay_fleet::status(int number)
{
    return nlohmann::json::parse(this->operator_page(number, "/status"));
}

std::string relay_fleet::operator_page(int number, const std::string& target)
{
    net::http_request request;
    request.target = target;
    request.total_timeout = wait_timeout;
    std::string text;
    bool ended = false;
    const auto call = this->client.send(
        this->metrics_address(number), request,
        {{},
         {},
         [&text, &ended](const result<net::http_response>& end)
         {
             ended = true;
             text = end.has_value() ? end.value().body : "";
         }});
    this->wait([&ended] { return ended; });
    return text;
}

relay_fleet::response relay_fleet::submit(int number, const std::string& job,
                                          int items)
{
    json headers{{"A", "b"}};
    if (!this->prompt_parts.empty())
    {
        headers["Parsleytrack-Prompt-Prefix"] = this->prompt_parts;
    }
    for (const auto& [name, value] : this->item_headers)
    {
        headers[name] = value;
    }
    json body{{"items", json::array()}};
    for (int item = 0; item < items; ++item)
    {
        body["items"].push_back({{"id", job + "-" + std::to_string(item)},
                                 {"path", "/batch/x"},
                                 {"headers", headers},
                                 {"body", "q83vEjRWeJA="},
                                 {"tokens", 100}});
    }
    return this->call(number, "POST", "/batch/" + job, job, body.dump());
}

json relay_fleet::results(int number, const std::string& job)
{
    json all = json::array();
    this->wait(
        [this, number, &job, &all]
        {
            const response page = this->call(
                number, "GET",
                "/v1/lots/" + job + "?after=" + std::to_string(all.size()));
            if (page.status != 200)
            {
                return false;
            }
            const json body = json::parse(page.body);
            for (const json& entry : body["results"])
            {
                all.push_back(entry);
            }
            return all.size() >= body["total"].get<std::size_t>();
        });
    return all;
}

} // namespace parsleytrack::relay_support
