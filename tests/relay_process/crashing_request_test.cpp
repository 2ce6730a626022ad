#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
constexpr int engine_count = 8;
/// The platform's bounds: the replicas that crash before a request is known to
/// be the cause, the requests that may reach replicas later, and how long the
/// nodes have to act.
constexpr int crash_limit = 3;
constexpr int late_request_limit = 3;
constexpr duration reaction_time = std::chrono::seconds(3);
const std::string bad_body = "bad";

/// How long after a crash another process of the replica starts.
constexpr duration restart_time = std::chrono::seconds(1);

/// A fleet whose replicas crash under one request, which comes again and again
/// at any node, and are back after a second as another process.
class crashing_fleet
{
public:
    /// \param service The service of the replicas.
    /// \param events Events that replicas send before they crash.
    explicit crashing_fleet(const char* path = "/plain/a",
                            const char* service = "web",
                            int engines = engine_count, int events = 0,
                            int storage_nodes = 0)
        : fleet(relay_fleet_options{.node_count = node_count,
                                    .engine_count = engines,
                                    .storage_count = storage_nodes}),
          bad_path(path), service_name(service)
    {
        this->fleet.store.erase("servers/i-web");
        for (auto& engine : this->fleet.engines)
        {
            engine->crashing_path = path;
            engine->crashing_body = bad_body;
            engine->events_before_crash = events;
            engine->on_crash = [this, &engine]
            {
                this->handle_crash(*engine);
            };
            this->fleet.store.put("servers/" + engine->name(),
                                  engine->record(this->service_name));
        }
        CHECK(this->fleet.wait([this] { return this->send_sound(0) == 200; }));
    }

    relay_fleet::response send_bad(int node)
    {
        return this->send(node, this->bad_path, bad_body);
    }

    /// Sends a request with the same path and another body.
    int send_sound(int node)
    {
        return this->send(node, this->bad_path, "sound").status;
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

    /// Sends the request until the nodes have had their time.
    void react()
    {
        const time_point limit = net::event_loop::now() + reaction_time;
        for (int count = 0; net::event_loop::now() < limit; ++count)
        {
            this->send_sound(count % node_count);
            this->send_bad(count % node_count);
            this->fleet.run_for(std::chrono::milliseconds(50));
        }
    }

    /// Checks that the request is rejected at once by all nodes, and others
    /// are not.
    void check_blocked()
    {
        const int before = this->crashes();
        CHECK(before >= crash_limit);
        CHECK(before <= crash_limit + late_request_limit);
        for (int count = 0; count < 30; ++count)
        {
            const auto response = this->send_bad(count % node_count);
            CHECK_EQUAL(503, response.status);
            CHECK(net::find_header(response.headers, "Retry-After") != nullptr);
            CHECK_EQUAL(200, this->send_sound(count % node_count));
        }
        CHECK_EQUAL(before, this->crashes());
    }

    relay_fleet fleet;

private:
    relay_fleet::response send(int node, const std::string& path,
                               const std::string& body)
    {
        return this->fleet.call(node, "POST", path,
                                "x" + std::to_string(++this->sent), body);
    }

    void handle_crash(replica_stand_in& engine)
    {
        engine.stop();
        this->restarts[engine.name()] = this->fleet.loop.call_after(
            restart_time,
            [this, &engine]
            {
                engine.restart();
                this->fleet.store.put("servers/" + engine.name(),
                                      engine.record(this->service_name));
            });
    }

    std::string bad_path;
    std::string service_name;
    int sent = 0;
    std::map<std::string, net::timer> restarts;
};

} // namespace

TEST_GROUP(relay_crashing_requests){};

// Guards against ending one replica after the other under a request without a
// prompt, which comes again with the same path and body at any node.
TEST(relay_crashing_requests, a_request_without_a_prompt_is_blocked_everywhere)
{
    crashing_fleet crashing;
    crashing.react();
    crashing.check_blocked();
}

TEST(relay_crashing_requests, so_is_one_for_a_stream)
{
    for (const char* path : {"/stream/a", "/once/a"})
    {
        crashing_fleet crashing(path, "llm");
        crashing.react();
        crashing.check_blocked();
    }
}

// Guards against taking the first events of a response for a proof that its
// replica survives the request.
TEST(relay_crashing_requests, so_is_one_under_which_replicas_send_events_first)
{
    for (const int events : {1, 3, 30})
    {
        for (const char* path : {"/stream/a", "/once/a"})
        {
            crashing_fleet crashing(path, "llm", engine_count, events);
            crashing.react();
            crashing.check_blocked();
        }
    }
}

// Guards against blocking the parts of a prompt, which other requests share,
// for one request that crashes replicas.
TEST(relay_crashing_requests, the_parts_of_its_prompt_are_not_blocked)
{
    crashing_fleet crashing("/once/a", "llm");
    crashing.fleet.prompt_parts = "5c1e07a2:200,e1:250";
    crashing.react();
    crashing.check_blocked();
}

// Guards against a node that has just started and knows of no block.
TEST(relay_crashing_requests, a_node_that_starts_again_learns_of_it)
{
    crashing_fleet crashing;
    crashing.react();
    for (int node = 0; node < node_count; ++node)
    {
        crashing.fleet.process(node).kill();
        crashing.fleet.start(node);
        crashing.fleet.wait_ready(node);
        crashing.fleet.run_for(std::chrono::seconds(1));
    }
    crashing.check_blocked();
}

// Guards against beginning anew when all nodes that callers use are killed at
// once: each time would cost three more replicas.
TEST(relay_crashing_requests, a_kill_of_all_nodes_ends_no_block)
{
    crashing_fleet crashing("/once/a", "llm", engine_count, 3, 2);
    crashing.react();
    for (int kill = 0; kill < 2; ++kill)
    {
        for (int node = 0; node < node_count; ++node)
        {
            crashing.fleet.process(node).kill();
        }
        for (int node = 0; node < node_count; ++node)
        {
            crashing.fleet.start(node);
        }
        for (int node = 0; node < node_count; ++node)
        {
            crashing.fleet.wait_ready(node);
        }
        crashing.fleet.run_for(std::chrono::seconds(1));
        crashing.check_blocked();
    }
}

// Guards against giving up items of jobs that were in progress when replicas
// crashed under another request: they are still owed.
TEST(relay_crashing_requests, items_in_progress_are_still_completed)
{
    crashing_fleet crashing("/once/a", "llm");
    relay_fleet& fleet = crashing.fleet;
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(60);
    }
    fleet.prompt_parts = "5c1e07a2:100,e2:250";
    CHECK_EQUAL(202, fleet.submit(0, "job", 48).status);
    fleet.prompt_parts.clear();
    crashing.react();
    std::size_t runs = 0;
    for (const auto& engine : fleet.engines)
    {
        for (const auto& [request, count] : engine->runs)
        {
            runs += request.starts_with("job-") ? 1 : 0;
        }
    }
    CHECK(runs > 48);
    const auto results = fleet.results(1, "job");
    CHECK_EQUAL(48, results.size());
    for (const auto& entry : results)
    {
        STRCMP_EQUAL("completed", entry["state"].get<std::string>().c_str());
    }
}

// Guards against holding items back for a minute, because they had just begun
// on the replicas that crashed under another request.
TEST(relay_crashing_requests, items_that_had_just_begun_do_not_wait)
{
    crashing_fleet crashing("/once/a", "llm", crash_limit);
    relay_fleet& fleet = crashing.fleet;
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(600);
        engine->event_count = 4;
    }
    fleet.prompt_parts = "5c1e07a2:100,e2:250";
    CHECK_EQUAL(202, fleet.submit(0, "job", 12).status);
    fleet.prompt_parts.clear();
    fleet.run_for(std::chrono::milliseconds(200));
    for (int count = 0; count < crash_limit; ++count)
    {
        crashing.send_bad(count);
    }
    CHECK_EQUAL(crash_limit, crashing.crashes());
    CHECK_EQUAL(12, fleet.results(1, "job").size());
}

// Guards against failing requests that reach a replica right after its end,
// before the nodes exclude it: its port refuses them, so they have not run.
TEST(relay_crashing_requests, a_replica_that_has_ended_fails_no_request)
{
    constexpr int requests = 24;
    crashing_fleet crashing("/once/a", "llm", crash_limit);
    crashing.fleet.engines.front()->stop();
    for (int count = 0; count < requests; ++count)
    {
        const int status = crashing.send_sound(count % node_count);
        CHECK_EQUAL(200, status);
    }
}
