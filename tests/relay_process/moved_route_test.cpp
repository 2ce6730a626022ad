#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr std::size_t stream_route = 1;
constexpr std::size_t batch_route = 3;
/// More items than the four slots of a replica.
constexpr int job_items = 12;
/// Makes a run last for more than a second.
constexpr duration slow_events = std::chrono::milliseconds(100);
/// Within this time after a configuration was written, all nodes follow it.
constexpr duration apply_time = std::chrono::seconds(2);

/// One replica of the service that the routes have at first, and one of another
/// service that no route has yet.
class two_services
{
public:
    explicit two_services(relay_fleet_options options)
        : fleet(with_one(options))
    {
        this->fleet.store.put("servers/i-other", this->other.record("other"));
        this->before().event_interval = slow_events;
        this->document =
            nlohmann::json::parse(relay_fleet::configuration(4, "/plain/"));
        this->document["services"].push_back(
            {{"name", "other"}, {"healthPath", "/health"}, {"maxConns", 100}});
    }

    replica_stand_in& before() { return *this->fleet.engines.front(); }

    /// Publishes the next configuration, in which a route has other services.
    void set_services(std::size_t route, const nlohmann::json& services)
    {
        nlohmann::json& entry = this->document["routes"][route];
        entry.erase("service");
        entry.erase("trafficSplit");
        entry.update(services);
        this->publish();
    }

    void publish()
    {
        this->fleet.store.put("op/config", this->document.dump());
        this->document["version"] = this->document["version"].get<int>() + 1;
    }

    /// Submits a job of which the replica before has as many items as it runs
    /// at a time, while the others wait for its slots.
    void start_job()
    {
        CHECK_EQUAL(202, this->fleet.submit(0, "job", job_items).status);
        CHECK(this->fleet.wait([this]
                               { return this->before().open_streams() == 4; }));
    }

    void leave()
    {
        this->fleet.store.put("servers/i-0",
                              this->before().record("llm", "draining"));
    }

    /// \returns The number of items that end with their whole output.
    std::size_t completed()
    {
        std::size_t complete = 0;
        for (const auto& result : this->fleet.results(0, "job"))
        {
            complete += result["output"] == expected_output() ? 1 : 0;
        }
        return complete;
    }

    relay_fleet fleet;
    replica_stand_in other{this->fleet.loop, "i-other"};
    nlohmann::json document;

private:
    static relay_fleet_options with_one(relay_fleet_options options)
    {
        options.engine_count = 1;
        return options;
    }
};

} // namespace

TEST_GROUP(relay_moved_routes){};

// Guards against items that wait for ever for a slot of the service that their
// route had when they were started, once its replicas have left.
TEST(relay_moved_routes, items_that_wait_go_to_the_next_service)
{
    two_services world({});
    world.start_job();
    world.set_services(batch_route, {{"service", "other"}});
    world.leave();
    CHECK_EQUAL(job_items, world.completed());
}

// Guards against items that are sent by a configuration that no longer holds,
// since they waited for a slot when the next one came.
TEST(relay_moved_routes, no_item_is_sent_to_the_service_before)
{
    two_services world({});
    world.start_job();
    world.set_services(batch_route, {{"service", "other"}});
    world.fleet.run_for(apply_time);
    const std::size_t sent = world.before().arrivals.size();
    CHECK_EQUAL(job_items, world.completed());
    CHECK_EQUAL(sent, world.before().arrivals.size());
}

// Guards against a result that joins the texts of two services: an item goes on
// in the middle of its output where its route has moved to.
TEST(relay_moved_routes, an_item_that_has_begun_starts_anew_at_the_next_service)
{
    two_services world({});
    world.before().event_interval = std::chrono::milliseconds(400);
    world.start_job();
    // Until the list of replicas has confirmed the version of the output.
    world.fleet.run_for(std::chrono::milliseconds(2600));
    world.set_services(batch_route, {{"service", "other"}});
    world.leave();
    world.before().behaviour = replica_stand_in::fault::truncating;
    CHECK_EQUAL(job_items, world.completed());
    for (const auto& [request, starts] : world.other.resumed_after)
    {
        CHECK_EQUAL(0, starts.front());
    }
}

// Guards against items that are sent by the configuration of an owner that
// knows an older one than the node that has accepted the job.
TEST(relay_moved_routes, an_owner_waits_for_the_configuration_of_the_acceptance)
{
    two_services world({.node_count = 2, .has_proxies = true});
    world.fleet.store_proxies[1]->set_fault(fault_proxy::fault::blocked);
    world.set_services(batch_route, {{"service", "other"}});
    world.fleet.run_for(std::chrono::milliseconds(500));
    for (int number = 0; number < 8; ++number)
    {
        const std::string job = "job" + std::to_string(number);
        CHECK_EQUAL(202, world.fleet.submit(0, job, 1).status);
    }
    world.fleet.run_for(std::chrono::seconds(1));
    world.fleet.store_proxies[1]->set_fault(fault_proxy::fault::none);
    for (int number = 0; number < 8; ++number)
    {
        CHECK_EQUAL(
            1, world.fleet.results(0, "job" + std::to_string(number)).size());
    }
    CHECK_EQUAL(0, world.before().run_count);
}

// Guards against items that go back to the front of a move that was taken back.
TEST(relay_moved_routes, a_move_there_and_back_loses_no_item)
{
    two_services world({});
    world.start_job();
    world.set_services(batch_route, {{"service", "other"}});
    world.set_services(batch_route, {{"service", "llm"}});
    CHECK_EQUAL(job_items, world.completed());
}

// Guards against items that wait for the first service of a split route, which
// has no replica, while the others are idle.
TEST(relay_moved_routes, items_of_a_split_route_go_where_replicas_are)
{
    two_services world({});
    world.start_job();
    world.set_services(batch_route,
                       {{"trafficSplit",
                         {{{"service", "llm"}, {"weight", 9}},
                          {{"service", "other"}, {"weight", 1}}}}});
    world.fleet.run_for(std::chrono::milliseconds(500));
    world.leave();
    CHECK_EQUAL(job_items, world.completed());
}

// Guards against giving items up by the number of failures that the version
// allowed by which they began to wait.
TEST(relay_moved_routes, items_that_wait_get_the_attempts_of_the_new_version)
{
    two_services world({});
    world.document["routes"][batch_route]["maxAttempts"] = 1;
    world.publish();
    world.fleet.run_for(std::chrono::milliseconds(500));
    world.start_job();
    world.document["routes"][batch_route]["maxAttempts"] = 3;
    world.publish();
    world.before().behaviour = replica_stand_in::fault::failing_once;
    CHECK_EQUAL(job_items, world.completed());
}

// Guards against refusing a caller, or letting it wait until it leaves, for
// want of a slot at a service that its route has left.
TEST(relay_moved_routes, a_request_that_waits_goes_to_the_next_service)
{
    two_services world({});
    world.start_job();
    const auto waiting = std::make_shared<relay_fleet::response>();
    for (int number = 0; number < 4; ++number)
    {
        world.fleet.start_call(0, "POST", "/once/a",
                               "held-" + std::to_string(number), "",
                               std::make_shared<relay_fleet::response>());
    }
    CHECK(world.fleet.wait([&world]
                           { return world.before().runs.contains("held-3"); }));
    world.fleet.start_call(0, "POST", "/stream/a", "waits", "", waiting);
    world.fleet.run_for(std::chrono::milliseconds(100));
    CHECK_EQUAL(-1, waiting->status);
    world.set_services(stream_route, {{"service", "other"}});
    CHECK(world.fleet.wait([&waiting] { return waiting->status >= 0; }));
    CHECK_EQUAL(200, waiting->status);
    CHECK_EQUAL(1, world.other.runs["waits"]);
}
