#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int request_count = 24;
/// Deadline that relay_fleet sets on its calls.
constexpr int caller_deadline_ms = 5000;
/// How far a replica's deadline may lie beyond the caller's.
constexpr int slack_ms = 500;

} // namespace

TEST_GROUP(relay_rules){};

TEST(relay_rules, a_replica_stops_soon_after_the_caller_disconnects)
{
    relay_fleet fleet(1);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(50);
        engine->event_count = 200;
    }
    const auto streams = [&fleet]
    {
        std::size_t count = 0;
        for (const auto& engine : fleet.engines)
        {
            count += engine->open_streams();
        }
        return count;
    };
    {
        net::http_client caller(fleet.loop);
        net::http_request request;
        request.method = "POST";
        request.target = "/stream/a";
        request.headers = {{"Host", "h"},
                           {"Parsleytrack-Request-Id", "id1"},
                           {"Parsleytrack-Deadline-Ms", "20000"}};
        bool begun = false;
        const auto call =
            caller.send(fleet.front_address(0), request,
                        {{},
                         [&begun](std::string_view) { begun = true; },
                         [](const result<net::http_response>&) {
                         }});
        CHECK(fleet.wait([&begun] { return begun; }));
        CHECK_EQUAL(1, streams());
    }
    // The platform allows half a second.
    fleet.run_for(std::chrono::milliseconds(500));
    CHECK_EQUAL(0, streams());
}

TEST(relay_rules, replicas_get_no_more_than_the_remaining_time)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = 1, .has_proxies = true});
    // The first replica is unresponsive, so that requests to it are retried
    // after 600 ms.
    fleet.replica_proxies[0]->set_fault(fault_proxy::fault::blocked);
    int retries = 0;
    for (int count = 0; count < request_count; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        const time_point begin = net::event_loop::now();
        CHECK_EQUAL(200, fleet.call(0, "POST", "/stream/a", id).status);
        for (const auto& engine : fleet.engines)
        {
            const auto found = engine->received_deadlines.find(id);
            if (found == engine->received_deadlines.end())
            {
                continue;
            }
            const auto& [remaining_ms, arrival] = found->second;
            const auto waited_ms = to_milliseconds(arrival - begin);
            CHECK(remaining_ms > 0 && remaining_ms <= caller_deadline_ms);
            CHECK(waited_ms + remaining_ms <= caller_deadline_ms + slack_ms);
            retries += waited_ms > slack_ms ? 1 : 0;
        }
    }
    CHECK(retries > 0);
}

TEST(relay_rules, a_request_is_run_by_no_more_replicas_than_allowed)
{
    relay_fleet fleet(1);
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::failing;
    }
    // The route allows three attempts, and the replicas fail all of them.
    const auto response = fleet.call(0, "POST", "/stream/a", "id1");
    CHECK(response.status >= 500);
    int runs = 0;
    for (const auto& engine : fleet.engines)
    {
        runs += engine->runs["id1"];
    }
    CHECK(runs <= 3);
}

TEST(relay_rules, another_service_at_a_reused_address_runs_nothing)
{
    relay_fleet fleet(1);
    // Another service now uses the address of a replica that is gone.
    fleet.engines[0]->advertise(fleet.web->listen_address());
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm"));
    fleet.run_for(std::chrono::milliseconds(1500));
    for (int count = 0; count < request_count; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        CHECK_EQUAL(200, fleet.call(0, "POST", "/stream/a", id).status);
        CHECK_FALSE(fleet.web->runs.contains(id));
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 8).status);
    CHECK_EQUAL(8, fleet.results(0, "job").size());
    CHECK_FALSE(std::any_of(fleet.web->runs.begin(), fleet.web->runs.end(),
                            [](const auto& run)
                            { return run.first.starts_with("job"); }));
}

// Guards against replicas that are out of use for good, at all nodes, because a
// caller has asked them for weights that they do not have.
TEST(relay_rules, requests_for_other_weights_cost_no_replica)
{
    relay_fleet fleet(1);
    fleet.caller_headers = {{"Parsleytrack-Expect-Version", "7"}};
    for (int number = 0; number < 3; ++number)
    {
        const std::string id = "other-" + std::to_string(number);
        CHECK_EQUAL(503, fleet.call(0, "POST", "/once/a", id).status);
    }
    fleet.item_headers = fleet.caller_headers;
    fleet.caller_headers.clear();
    CHECK_EQUAL(202, fleet.submit(0, "other", 1).status);
    fleet.run_for(std::chrono::seconds(1));
    fleet.item_headers.clear();
    CHECK_EQUAL(200, fleet.call(0, "POST", "/once/a", "plain").status);
    CHECK_EQUAL(202, fleet.submit(0, "job", 2).status);
    CHECK_EQUAL(2, fleet.results(0, "job").size());
}

// Guards against requests that are held until their deadline although they were
// refused by every replica there is.
TEST(relay_rules, a_request_that_every_replica_refuses_is_rejected_at_once)
{
    relay_fleet fleet(1);
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    const time_point begin = net::event_loop::now();
    const auto refused = fleet.call(0, "POST", "/once/a", "once");
    CHECK(net::event_loop::now() - begin < std::chrono::seconds(1));
    CHECK_EQUAL(503, refused.status);
    CHECK(net::find_header(refused.headers, "Retry-After") != nullptr);
}
