#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
constexpr int engine_count = 8;
/// The platform's bounds: requests that may reach replicas once several have
/// crashed, how many those are, and how long the nodes have to act.
constexpr int crash_limit = 5;
constexpr int late_request_limit = 3;
constexpr duration reaction_time = std::chrono::seconds(3);

const std::string shared_part = "5c1e07a2:200";
const std::string bad_part = "bad0bad0:50";

/// A fleet whose replicas crash under a part of a prompt and are back at once
/// as another process.
class crashing_fleet
{
public:
    crashing_fleet()
    {
        for (auto& engine : this->fleet.engines)
        {
            engine->crashing_part = bad_part;
            engine->on_crash = [this, &engine]
            {
                this->restart(*engine);
            };
        }
    }

    /// Sends a request with the bad part.
    relay_fleet::response send_bad(int node, const char* path = "/once/a")
    {
        return this->send(
            node, path, shared_part + "," + bad_part + "," + this->own_part());
    }

    /// Sends a request that shares the other parts.
    relay_fleet::response send_sound(int node)
    {
        return this->send(node, "/once/a",
                          shared_part + "," + this->own_part());
    }

    int crashes() const
    {
        int count = 0;
        for (const auto& engine : this->fleet.engines)
        {
            count += engine->crashes;
        }
        return count;
    }

    /// Sends requests with the bad part until the nodes have had their time.
    void react(const char* path = "/once/a")
    {
        const time_point limit = net::event_loop::now() + reaction_time;
        for (int count = 0; net::event_loop::now() < limit; ++count)
        {
            this->send_sound(count % node_count);
            this->send_bad(count % node_count, path);
            this->fleet.run_for(std::chrono::milliseconds(50));
        }
    }

    relay_fleet fleet{relay_fleet_options{.node_count = node_count,
                                          .engine_count = engine_count}};

private:
    relay_fleet::response send(int node, const char* path,
                               const std::string& parts)
    {
        this->fleet.prompt_parts = parts;
        // No two requests are alike.
        const std::string id = "p" + std::to_string(++this->sent);
        return this->fleet.call(node, "POST", path, id, id);
    }

    std::string own_part() { return "e" + std::to_string(this->sent) + ":250"; }

    void restart(replica_stand_in& engine)
    {
        engine.restart();
        this->fleet.store.put("servers/" + engine.name(), engine.record("llm"));
    }

    int sent = 0;
};

} // namespace

TEST_GROUP(relay_prompt_parts){};

// Guards against taking the first events of a response for a proof that its
// replica survives the part.
TEST(relay_prompt_parts, so_is_one_under_which_replicas_send_events_first)
{
    crashing_fleet crashing;
    for (const auto& engine : crashing.fleet.engines)
    {
        engine->events_before_crash = 3;
    }
    int count = 0;
    CHECK(crashing.fleet.wait(
        [&crashing, &count]
        {
            crashing.send_bad(++count % node_count);
            return crashing.crashes() >= crash_limit;
        }));
    crashing.react();
    const int before = crashing.crashes();
    for (int late = 0; late < 30; ++late)
    {
        crashing.send_bad(late % node_count);
        CHECK_EQUAL(200, crashing.send_sound(late % node_count).status);
    }
    CHECK(crashing.crashes() - before <= late_request_limit);
}

// Guards against ending one replica after the other under requests that share
// one part of their prompts and arrive at any node.
TEST(relay_prompt_parts, a_part_that_crashes_replicas_is_blocked_everywhere)
{
    crashing_fleet crashing;
    crashing.react();
    const int before = crashing.crashes();
    CHECK(before <= crash_limit + late_request_limit);
    for (int count = 0; count < 30; ++count)
    {
        const auto response = crashing.send_bad(count % node_count);
        CHECK_EQUAL(503, response.status);
        CHECK(net::find_header(response.headers, "Retry-After") != nullptr);
        CHECK_EQUAL(200, crashing.send_sound(count % node_count).status);
    }
    CHECK_EQUAL(before, crashing.crashes());
}

// The same for a route whose requests are repeated at other replicas.
TEST(relay_prompt_parts, repeated_requests_end_no_more_replicas)
{
    crashing_fleet crashing;
    crashing.react("/stream/a");
    const int before = crashing.crashes();
    CHECK(before <= crash_limit + late_request_limit);
    for (int count = 0; count < 10; ++count)
    {
        const int node = count % node_count;
        CHECK_EQUAL(503, crashing.send_bad(node, "/stream/a").status);
    }
    CHECK_EQUAL(before, crashing.crashes());
}

// Guards against batch items that end replicas, and against a job whose blocked
// items keep those of others from running.
TEST(relay_prompt_parts, items_with_a_blocked_part_wait)
{
    crashing_fleet crashing;
    crashing.react();
    const int before = crashing.crashes();
    relay_fleet& fleet = crashing.fleet;
    fleet.prompt_parts = shared_part + "," + bad_part + ",e1:250";
    CHECK_EQUAL(202, fleet.submit(0, "bad", 40).status);
    fleet.prompt_parts = shared_part + ",e2:250";
    CHECK_EQUAL(202, fleet.submit(0, "sound", 8).status);
    CHECK_EQUAL(8, fleet.results(0, "sound").size());
    fleet.run_for(std::chrono::seconds(7));
    CHECK_EQUAL(before, crashing.crashes());
}

// Guards against items that are tried again and again: each trial that fails
// doubles the time to the next one.
TEST(relay_prompt_parts, a_trial_with_an_item_that_fails_is_the_last_for_long)
{
    crashing_fleet crashing;
    crashing.react();
    const int before = crashing.crashes();
    relay_fleet& fleet = crashing.fleet;
    fleet.prompt_parts = shared_part + "," + bad_part + ",e1:250";
    // One node decides on the trial; among several jobs it owns one.
    for (const char* job : {"a", "b", "c", "d", "e", "f", "g", "h"})
    {
        CHECK_EQUAL(202, fleet.submit(0, job, 5).status);
    }
    // The first trial follows a minute after the block; without an outcome, the
    // next one would follow 20 s later.
    fleet.run_for(std::chrono::seconds(95));
    CHECK_EQUAL(before + 1, crashing.crashes());
}

// Guards against a node that forgets with its process what the fleet knows.
TEST(relay_prompt_parts, a_restarted_node_learns_the_blocked_parts)
{
    crashing_fleet crashing;
    crashing.react();
    const int before = crashing.crashes();
    crashing.fleet.process(1).kill();
    crashing.fleet.start(1);
    crashing.fleet.wait_ready(1);
    crashing.fleet.run_for(reaction_time);
    for (int count = 0; count < 10; ++count)
    {
        CHECK_EQUAL(503, crashing.send_bad(1).status);
    }
    CHECK_EQUAL(before, crashing.crashes());
    CHECK_EQUAL(200, crashing.send_sound(1).status);
}

// Guards against blocking what was only in progress when replicas crashed for
// another reason.
TEST(relay_prompt_parts, sound_parts_stay_usable_while_replicas_crash)
{
    crashing_fleet crashing;
    for (int count = 0; count < 12; ++count)
    {
        CHECK_EQUAL(200, crashing.send_sound(count % node_count).status);
    }
    // The parts of these requests crash nothing; the replicas just end.
    for (auto& engine : crashing.fleet.engines)
    {
        engine->crashing_part = shared_part;
    }
    for (int count = 0; count < 4; ++count)
    {
        CHECK(crashing.send_sound(count % node_count).status != 503);
    }
    for (auto& engine : crashing.fleet.engines)
    {
        engine->crashing_part.clear();
    }
    crashing.fleet.run_for(std::chrono::seconds(1));
    for (int count = 0; count < 12; ++count)
    {
        CHECK_EQUAL(200, crashing.send_sound(count % node_count).status);
    }
}
