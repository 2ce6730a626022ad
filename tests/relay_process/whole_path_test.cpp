#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Checks that each item has exactly one result, with the complete output.
void check_results(const nlohmann::json& results, std::size_t count)
{
    CHECK_EQUAL(count, results.size());
    std::set<std::string> items;
    for (const auto& entry : results)
    {
        STRCMP_EQUAL("completed", entry["state"].get<std::string>().c_str());
        STRCMP_EQUAL(expected_output().c_str(),
                     entry["output"].get<std::string>().c_str());
        CHECK(items.insert(entry["id"]).second);
    }
}

/// How long a leaving replica may still get new requests after it reported
/// that it drains, as the platform's smaller deployments require it.
constexpr duration max_drain_delay = std::chrono::milliseconds(2000);

int run_count(const relay_fleet& fleet, const std::string& request)
{
    int runs = 0;
    for (const auto& engine : fleet.engines)
    {
        const auto found = engine->runs.find(request);
        runs += found == engine->runs.end() ? 0 : found->second;
    }
    return runs;
}

} // namespace

TEST_GROUP(relay_calm){};

TEST(relay_calm, serves_plain_streamed_and_batch_requests)
{
    relay_fleet fleet(2);
    const auto page = fleet.call(0, "POST", "/plain/a?b=c", "id1", "body");
    CHECK_EQUAL(200, page.status);
    STRCMP_EQUAL("page of id1", page.body.c_str());
    STRCMP_EQUAL(
        "seal-id1",
        net::find_header(page.headers, "Parsleytrack-Response-Seal")->c_str());
    const auto stream = fleet.call(1, "POST", "/stream/a", "id2", "body");
    STRCMP_EQUAL(expected_stream().c_str(), stream.body.c_str());
    CHECK_EQUAL(1, run_count(fleet, "id2"));
    CHECK_EQUAL(202, fleet.submit(0, "job1", 7).status);
    CHECK_EQUAL(202, fleet.submit(1, "job1", 7).status);
    check_results(fleet.results(1, "job1"), 7);
    check_results(fleet.results(0, "job1"), 7);
    const auto body = fleet.call(1, "GET", "/v1/items/job1?id=job1-3");
    CHECK_EQUAL(200, body.status);
    CHECK_EQUAL(8, body.body.size());
    CHECK_EQUAL(404, fleet.call(1, "GET", "/v1/lots/unknown").status);
}

TEST(relay_calm, refuses_invalid_requests_and_jobs_over_the_limit)
{
    relay_fleet fleet(1);
    CHECK_EQUAL(404, fleet.call(0, "POST", "/other/", "id1").status);
    CHECK_EQUAL(400, fleet.call(0, "POST", "/plain/a").status);
    const std::string long_body(200'000, 'x');
    CHECK_EQUAL(413,
                fleet.call(0, "POST", "/plain/a", "id2", long_body).status);
    CHECK_EQUAL(400,
                fleet.call(0, "POST", "/batch/j", "id3", "no json").status);
    // 16 jobs of 60 items with 100 tokens each fit the limit of 100,000
    // tokens.
    int refused = 0;
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    for (int job = 0; job < 18; ++job)
    {
        const int status =
            fleet.submit(0, "many" + std::to_string(job), 60).status;
        refused += status == 429 ? 1 : 0;
        CHECK(status == 202 || status == 429);
    }
    CHECK_EQUAL(2, refused);
    CHECK(fleet.web->runs.empty());
}

TEST(relay_calm, cancels_a_job)
{
    relay_fleet fleet(2);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 5).status);
    CHECK_EQUAL(200, fleet.call(1, "DELETE", "/v1/lots/job").status);
    CHECK_EQUAL(200, fleet.call(0, "DELETE", "/v1/lots/job").status);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
    }
    fleet.run_for(std::chrono::milliseconds(1500));
    CHECK_EQUAL(0, run_count(fleet, "job-0"));
}

TEST(relay_calm, results_are_erased_after_the_retention_time)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = 2, .keep_results_s = 1});
    CHECK_EQUAL(202, fleet.submit(0, "job", 40).status);
    check_results(fleet.results(1, "job"), 40);
    CHECK(fleet.wait(
        [&fleet]
        { return fleet.store.values("parsleytrack/jobs/state/").empty(); }));
    CHECK(fleet.store.values("parsleytrack/jobs/output/").empty());
    CHECK(fleet.store.values("parsleytrack/jobs/input/").empty());
    CHECK_EQUAL(202, fleet.submit(0, "job", 2).status);
    check_results(fleet.results(0, "job"), 2);
}

TEST_GROUP(relay_replica_faults){};

TEST(relay_replica_faults, an_interrupted_stream_resumes_at_another_replica)
{
    relay_fleet fleet(1);
    fleet.engines[0]->behaviour = replica_stand_in::fault::truncating;
    for (int count = 0; count < 8; ++count)
    {
        const auto stream = fleet.call(0, "POST", "/stream/a",
                                       "id" + std::to_string(count), "body");
        CHECK_EQUAL(200, stream.status);
        STRCMP_EQUAL(expected_stream().c_str(), stream.body.c_str());
    }
    CHECK_FALSE(fleet.engines[0]->runs.empty());
}

TEST(relay_replica_faults, a_stream_that_cannot_be_resumed_is_aborted)
{
    relay_fleet fleet(1);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::truncating;
    }
    const auto stream = fleet.call(0, "POST", "/once/a", "id1", "body");
    CHECK_EQUAL(0, stream.status);
    CHECK_EQUAL(1, run_count(fleet, "id1"));
}

TEST(relay_replica_faults, a_request_that_was_not_run_is_retried_elsewhere)
{
    relay_fleet fleet(1);
    fleet.engines[0]->behaviour = replica_stand_in::fault::full;
    fleet.engines[1]->behaviour = replica_stand_in::fault::full;
    for (int count = 0; count < 6; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        CHECK_EQUAL(200, fleet.call(0, "POST", "/once/a", id).status);
        CHECK_EQUAL(1, run_count(fleet, id));
    }
}

TEST(relay_replica_faults, a_leaving_replica_gets_no_new_requests)
{
    relay_fleet fleet(2);
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm", "draining"));
    fleet.store.erase("servers/i-1");
    fleet.run_for(max_drain_delay);
    for (int count = 0; count < 10; ++count)
    {
        CHECK_EQUAL(200, fleet
                             .call(count % 2, "POST", "/stream/a",
                                   "id" + std::to_string(count))
                             .status);
    }
    CHECK(fleet.engines[0]->runs.empty());
    CHECK(fleet.engines[1]->runs.empty());
}

TEST(relay_replica_faults, items_that_always_fail_become_dead_letters)
{
    relay_fleet fleet(1);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::failing;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 2).status);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(2, results.size());
    STRCMP_EQUAL("dead_letter", results[0]["state"].get<std::string>().c_str());
    CHECK_EQUAL(2, run_count(fleet, "job-0"));
}

TEST_GROUP(relay_store_faults){};

TEST(relay_store_faults, a_lost_response_does_not_accept_a_job_twice)
{
    relay_fleet fleet(2);
    fleet.store.lost_responses = 1;
    CHECK_EQUAL(202, fleet.submit(0, "job", 5).status);
    fleet.store.lost_responses = 1;
    check_results(fleet.results(1, "job"), 5);
    CHECK_EQUAL(1, fleet.store.values("parsleytrack/jobs/state/").size());
    CHECK_EQUAL(5, fleet.store.values("parsleytrack/jobs/output/").size());
}

TEST(relay_store_faults, online_requests_are_served_during_an_outage)
{
    relay_fleet fleet(2);
    fleet.store.set_refusing(fleet.store_address(0), true);
    fleet.store.set_refusing(fleet.store_address(1), true);
    const time_point until = net::event_loop::now() + std::chrono::seconds(2);
    int served = 0;
    int sent = 0;
    while (net::event_loop::now() < until)
    {
        ++sent;
        served += fleet.call(sent % 2, "POST", "/stream/a",
                             "id" + std::to_string(sent))
                              .status == 200
                      ? 1
                      : 0;
    }
    CHECK_EQUAL(sent, served);
    // Both statuses mean that the job was not accepted and does not run.
    const int status = fleet.submit(0, "job", 3).status;
    CHECK(status == 503 || status == 504);
    fleet.store.set_refusing(fleet.store_address(0), false);
    fleet.store.set_refusing(fleet.store_address(1), false);
    CHECK(fleet.wait([&fleet]
                     { return fleet.submit(1, "job", 3).status == 202; }));
    check_results(fleet.results(0, "job"), 3);
}

TEST(relay_store_faults, a_node_that_the_store_refuses_still_serves)
{
    relay_fleet fleet(2);
    CHECK_EQUAL(202, fleet.submit(1, "job", 4).status);
    fleet.store.set_refusing(fleet.store_address(0), true);
    CHECK_EQUAL(200, fleet.call(0, "POST", "/stream/a", "id1").status);
    CHECK_EQUAL(200, fleet.call(0, "POST", "/plain/a", "id2").status);
    fleet.store.set_refusing(fleet.store_address(0), false);
    check_results(fleet.results(1, "job"), 4);
}

TEST_GROUP(relay_planned_stop){};

TEST(relay_planned_stop, no_request_is_interrupted)
{
    relay_fleet fleet(2);
    std::vector<std::shared_ptr<relay_fleet::response>> responses;
    const auto send_request = [&fleet, &responses]
    {
        const auto into = std::make_shared<relay_fleet::response>();
        fleet.start_call(0, "POST", "/stream/a",
                         "id" + std::to_string(responses.size()), "", into);
        responses.push_back(into);
    };
    CHECK_EQUAL(202, fleet.submit(0, "job", 6).status);
    send_request();
    fleet.process(0).signal(SIGTERM);
    // Callers may use the address for three times its validity of 0.5 s.
    const time_point until =
        net::event_loop::now() + std::chrono::milliseconds(1300);
    time_point next = net::event_loop::now();
    while (net::event_loop::now() < until)
    {
        if (net::event_loop::now() >= next)
        {
            send_request();
            next += std::chrono::milliseconds(40);
        }
        fleet.loop.run_for(std::chrono::milliseconds(10));
    }
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
    CHECK_EQUAL(0, fleet.process(0).exit_code());
    for (const auto& response : responses)
    {
        CHECK_EQUAL(200, response->status);
        STRCMP_EQUAL(expected_stream().c_str(), response->body.c_str());
    }
    check_results(fleet.results(1, "job"), 6);
}

TEST_GROUP(relay_owner_killed){};

TEST(relay_owner_killed, another_node_takes_over_its_jobs)
{
    relay_fleet fleet(3);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    for (int job = 0; job < 6; ++job)
    {
        CHECK_EQUAL(
            202, fleet.submit(job % 3, "job" + std::to_string(job), 3).status);
    }
    fleet.process(1).kill();
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
    }
    for (int job = 0; job < 6; ++job)
    {
        check_results(fleet.results(2, "job" + std::to_string(job)), 3);
    }
}

TEST(relay_owner_killed, no_job_is_lost_when_all_nodes_restart)
{
    relay_fleet fleet(2);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 4).status);
    fleet.process(0).kill();
    fleet.process(1).kill();
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
    }
    fleet.start(0);
    fleet.start(1);
    fleet.wait_ready(0);
    fleet.wait_ready(1);
    check_results(fleet.results(1, "job"), 4);
}
