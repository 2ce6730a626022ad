#include "soak/callers.hpp"

#include "relay_support/expected_output.hpp"

#include <utility>

namespace parsleytrack::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr duration send_interval = milliseconds(20);
constexpr duration patience = std::chrono::seconds(6);
/// Without a fault for so long before a request, a node that is stopped cuts
/// none.
constexpr duration calm = std::chrono::seconds(3);

bool promises_not_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

callers::callers(relay_support::relay_fleet& test_fleet, int node_count,
                 const fault_plan& planned, random_source& random_numbers,
                 violations& found, workspace_checks* checks)
    : fleet(test_fleet), nodes(node_count), plan(planned),
      random(random_numbers), problems(found), workspaces(checks),
      client(test_fleet.loop)
{
}

void callers::start()
{
    this->pace =
        this->fleet.loop.call_every(send_interval, [this] { this->send(); });
}

void callers::send()
{
    static constexpr const char* paths[] = {"/plain/a", "/stream/a", "/once/a"};
    const std::uint64_t number = this->next_id++;
    call& entry = this->calls[number];
    entry.what = static_cast<kind>(this->random() % 3);
    entry.id = "r" + std::to_string(number);
    entry.node = static_cast<int>(this->random() %
                                  static_cast<std::uint64_t>(this->nodes));
    entry.sent = net::event_loop::now();
    entry.was_stopping = this->plan.is_stopping(entry.node);
    if (entry.what == kind::once)
    {
        this->once_ids.insert(entry.id);
    }
    net::http_request request;
    request.method = "POST";
    request.target = paths[static_cast<int>(entry.what)];
    request.body = "body";
    request.total_timeout = patience;
    request.headers = {{"Host", "h"},
                       {"Parsleytrack-Request-Id", entry.id},
                       {"Parsleytrack-Deadline-Ms", "5000"}};
    if (this->workspaces != nullptr)
    {
        const auto fields =
            this->workspaces->begin_request(entry.id, entry.node);
        request.headers.insert(request.headers.end(), fields.begin(),
                               fields.end());
    }
    net::http_client::callbacks hooks;
    hooks.on_head = [this, number](const net::http_response& head)
    {
        this->calls.at(number).status = head.status;
    };
    hooks.on_piece = [this, number](std::string_view piece)
    {
        this->calls.at(number).body += piece;
    };
    hooks.on_end = [this, number](const result<net::http_response>& end)
    {
        this->take_end(number, end.has_value());
    };
    entry.running = this->client.send(this->fleet.front_address(entry.node),
                                      request, std::move(hooks));
}

void callers::take_end(std::uint64_t number, bool whole)
{
    const auto found = this->calls.find(number);
    const call ended = std::move(found->second);
    this->calls.erase(found);
    if (this->workspaces != nullptr)
    {
        this->workspaces->end_request(ended.id, whole ? ended.status : 0);
    }
    if (whole)
    {
        this->check_answer(ended);
        if (promises_not_run(ended.status) && ended.what == kind::once)
        {
            this->refused_ids.insert(ended.id);
        }
        return;
    }
    const time_point now = net::event_loop::now();
    const bool was_calm = this->plan.last_impairment() + calm < ended.sent;
    const bool in_time = now - ended.sent < patience;
    if (ended.was_stopping && was_calm && in_time &&
        this->runs_of(ended.id) > 0)
    {
        this->problems.add("a planned stop cuts no request",
                           ended.id + " at node " + std::to_string(ended.node));
    }
}

void callers::check_answer(const call& ended)
{
    const auto wrong = [this, &ended](const std::string& seen)
    {
        this->problems.add("an answer belongs to its request, and is whole",
                           ended.id + " got " + seen);
    };
    switch (ended.status)
    {
    case 200:
    {
        const std::string right = ended.what == kind::plain
                                      ? "page of " + ended.id
                                      : relay_support::expected_stream();
        if (ended.body != right)
        {
            wrong(ended.body);
        }
        ++this->served_count;
        return;
    }
    case 400:
    case 404:
    case 413:
    case 431:
        this->problems.add("a proper request is not refused for good",
                           ended.id + " got " + std::to_string(ended.status));
        return;
    default:
        return;
    }
}

int callers::runs_of(const std::string& id) const
{
    int runs = 0;
    for (const auto& engine : this->fleet.engines)
    {
        const auto found = engine->runs.find(id);
        runs += found == engine->runs.end() ? 0 : found->second;
    }
    return runs;
}

void callers::check_runs()
{
    for (const std::string& id : this->once_ids)
    {
        if (this->runs_of(id) > 1)
        {
            this->problems.add(
                "what must not run twice runs once",
                id + " ran " + std::to_string(this->runs_of(id)) + " times");
        }
    }
    for (const std::string& id : this->refused_ids)
    {
        if (this->runs_of(id) > 0)
        {
            this->problems.add("what is refused has not run", id);
        }
    }
}

} // namespace parsleytrack::soak
