#include "soak/job_callers.hpp"

#include "relay_support/expected_output.hpp"

#include <utility>

namespace parsleytrack::soak
{

namespace
{

using nlohmann::json;

constexpr duration step_interval = std::chrono::milliseconds(60);
constexpr duration patience = std::chrono::seconds(5);
constexpr int most_items = 6;
/// Of the route for jobs in the fleet's configuration.
constexpr int max_attempts = 2;

} // namespace

job_callers::job_callers(relay_support::relay_fleet& test_fleet, int node_count,
                         random_source& random_numbers, violations& found,
                         workspace_checks* checks)
    : fleet(test_fleet), nodes(node_count), random(random_numbers),
      problems(found), workspaces(checks), client(test_fleet.loop)
{
}

void job_callers::start()
{
    this->pace =
        this->fleet.loop.call_every(step_interval, [this] { this->step(); });
}

void job_callers::step()
{
    const std::size_t choice = this->random() % 8;
    if (this->jobs.empty() || choice < 2)
    {
        this->submit("j" + std::to_string(this->next_number));
        return;
    }
    const auto chosen = std::next(
        this->jobs.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->jobs.size()));
    const auto& [id, known] = *chosen;
    if (choice == 2)
    {
        this->submit(id);
        return;
    }
    if (choice == 3 && this->random() % 6 == 0)
    {
        this->end(id);
        return;
    }
    if (choice == 4 && this->workspaces != nullptr)
    {
        this->call_foreign(id);
        return;
    }
    const std::size_t after = this->random() % (known.results.size() + 1);
    this->read(id, after);
}

void job_callers::submit(const std::string& id)
{
    job& entry = this->jobs[id];
    if (entry.items == 0)
    {
        entry.items = static_cast<int>(1 + this->random() % most_items);
        if (this->workspaces != nullptr)
        {
            entry.owner = this->workspaces->begin_job(id);
        }
    }
    json item_headers{{"A", "b"}};
    if (this->workspaces != nullptr)
    {
        item_headers["authorization"] = "Token key-other";
        item_headers["parsleytrack-tenant"] = "other";
    }
    json body{{"items", json::array()}};
    for (int item = 0; item < entry.items; ++item)
    {
        body["items"].push_back({{"id", id + "-" + std::to_string(item)},
                                 {"path", "/batch/x"},
                                 {"headers", item_headers},
                                 {"body", "q83vEjRWeJA="},
                                 {"tokens", 100}});
    }
    this->send("POST", "/batch/" + id, entry.owner.headers, id, body.dump(),
               [this, id](int status, const std::string&)
               {
                   job& known = this->jobs.at(id);
                   if (status == 202)
                   {
                       known.accepted = true;
                   }
                   else if (status >= 400 && status < 500 && status != 429 &&
                            status != 408)
                   {
                       this->problems.add(
                           "a proper job is not refused for good",
                           id + " got " + std::to_string(status));
                   }
               });
}

void job_callers::read(const std::string& id, std::size_t after)
{
    this->send("GET", "/v1/lots/" + id + "?after=" + std::to_string(after),
               this->jobs.at(id).owner.headers, "", "",
               [this, id, after, was_accepted = this->jobs.at(id).accepted](
                   int status, const std::string& body)
               {
                   if (status == 404 && was_accepted)
                   {
                       this->problems.add("an accepted job is known", id);
                   }
                   this->take_page(id, after, status, body);
               });
}

void job_callers::end(const std::string& id)
{
    this->jobs.at(id).ended = true;
    this->send("DELETE", "/v1/lots/" + id, this->jobs.at(id).owner.headers, "",
               "", [](int, const std::string&) {});
}

void job_callers::call_foreign(const std::string& id)
{
    this->send(
        this->random() % 2 == 0 ? "GET" : "DELETE", "/v1/lots/" + id,
        this->workspaces->foreign_headers(this->jobs.at(id).owner.workspace),
        "", "",
        [this, id](int status, const std::string&)
        { this->workspaces->end_foreign_call(id, status); });
}

void job_callers::take_page(const std::string& id, std::size_t after,
                            int status, const std::string& body)
{
    if (status != 200)
    {
        return;
    }
    const json page = json::parse(body, nullptr, false);
    job& known = this->jobs.at(id);
    if (!page.is_object() || page["total"] != known.items)
    {
        this->problems.add("a job has all its items", id + " got " + body);
        return;
    }
    const std::string seen = id + " got " + body;
    std::size_t position = after;
    for (const json& entry : page["results"])
    {
        const bool done = entry["state"] == "completed";
        if (done && entry["output"] != relay_support::expected_output())
        {
            this->problems.add("a result is whole", seen);
        }
        if (position == known.results.size())
        {
            for (const json& earlier : known.results)
            {
                if (earlier["id"] == entry["id"])
                {
                    this->problems.add("an item has one result",
                                       id + " got " + entry.dump());
                }
            }
            this->check_failures(known, entry);
            known.results.push_back(entry);
        }
        else if (position < known.results.size() &&
                 known.results[position] != entry)
        {
            this->problems.add("a result keeps its place",
                               id + " at " + std::to_string(position));
        }
        ++position;
    }
}

void job_callers::check_failures(const job& known, const json& result)
{
    if (known.ended || result["state"] == "completed")
    {
        return;
    }
    int failures = 0;
    for (const auto& engine : this->fleet.engines)
    {
        failures += engine->failures[result["id"].get<std::string>()];
    }
    if (failures < max_attempts)
    {
        this->problems.add("an item is given up only after its failures",
                           result["id"].get<std::string>() + " after " +
                               std::to_string(failures));
    }
}

void job_callers::send(const std::string& method, const std::string& target,
                       const net::http_header_list& fields,
                       const std::string& id, const std::string& body,
                       answer_callback callback)
{
    net::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.total_timeout = patience;
    request.allow_connection_reuse = false;
    request.headers = {{"Host", "h"}, {"Parsleytrack-Wait-Ms", "300"}};
    request.headers.insert(request.headers.end(), fields.begin(), fields.end());
    if (!id.empty())
    {
        request.headers.emplace_back("Parsleytrack-Request-Id", id);
    }
    const auto node = this->random() % static_cast<std::uint64_t>(this->nodes);
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->client.send(
        this->fleet.front_address(static_cast<int>(node)), request,
        {{},
         {},
         [this, number,
          callback = std::move(callback)](const result<net::http_response>& end)
         {
             const auto call = std::move(this->calls.at(number));
             this->calls.erase(number);
             if (end.has_value())
             {
                 callback(end.value().status, end.value().body);
             }
         }});
}

bool job_callers::read_all()
{
    bool all_done = true;
    for (const auto& [id, known] : this->jobs)
    {
        const bool open =
            known.accepted && !known.ended &&
            known.results.size() < static_cast<std::size_t>(known.items);
        if (open)
        {
            all_done = false;
            this->read(id, known.results.size());
        }
    }
    return all_done;
}

std::size_t job_callers::accepted() const
{
    std::size_t count = 0;
    for (const auto& [id, known] : this->jobs)
    {
        count += known.accepted ? 1 : 0;
    }
    return count;
}

} // namespace parsleytrack::soak
