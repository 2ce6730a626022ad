#include "broken_streams.hpp"
#include "relay_support/expected_output.hpp"
#include "relay_support/raw_caller.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_process;
using namespace parsleytrack::relay_support;

namespace
{

/// How long a sound replica may be silent.
constexpr duration silence = std::chrono::milliseconds(1100);
/// Longer than a replica is waited for while another one could take over.
constexpr duration long_silence = std::chrono::milliseconds(2200);
/// After such a gap callers abandon a stream.
constexpr duration callers_patience = std::chrono::seconds(2);

/// \returns A stream that is silent for a time after an event; after the head
/// if the event is 0.
replica_answer silent_after(int event, duration time)
{
    return [=](const std::string& id, int after)
    {
        scripted_replica::script script =
            slow_stream(std::chrono::milliseconds(1))(id, after);
        script.steps.at(static_cast<std::size_t>(event) + 1).pause = time;
        return script;
    };
}

/// \returns A stream whose head comes late.
replica_answer silent_at_first(duration time)
{
    return [=](const std::string& id, int after)
    {
        scripted_replica::script script =
            slow_stream(std::chrono::milliseconds(1))(id, after);
        script.steps.front().pause = time;
        return script;
    };
}

/// \returns A stream that stops after an event, on a connection that stays
/// open.
replica_answer silent_for_good(int event)
{
    return [=](const std::string& id, int after)
    {
        scripted_replica::script script = cut_after(event)(id, after);
        script.end = scripted_replica::ending::open;
        return script;
    };
}

} // namespace

TEST_GROUP(relay_silent_replicas){};

// Guards against a stream that goes on at another replica while the silent one
// still works on it.
TEST(relay_silent_replicas, a_stream_stays_at_a_replica_silent_for_a_second)
{
    for (const replica_answer& answer :
         {silent_after(3, silence), silent_after(0, silence),
          silent_at_first(silence)})
    {
        broken_streams test;
        const auto outcome = test.call({answer});
        CHECK_EQUAL(1, outcome.resumed_after.size());
        CHECK(outcome.is_complete);
        STRCMP_EQUAL(expected_stream().c_str(), outcome.body.c_str());
    }
}

// Guards against waiting so long for a replica that is lost that the caller
// leaves.
TEST(relay_silent_replicas, a_replica_that_stays_silent_is_left)
{
    for (const int event : {3, 0})
    {
        broken_streams test;
        const time_point begin = net::event_loop::now();
        const auto outcome =
            test.call({silent_for_good(event),
                       slow_stream(std::chrono::milliseconds(1))});
        CHECK_EQUAL(2, outcome.resumed_after.size());
        CHECK(outcome.is_complete);
        STRCMP_EQUAL(expected_stream().c_str(), outcome.body.c_str());
        CHECK(net::event_loop::now() - begin < callers_patience);
    }
}

// Guards against waiting as long for a replica whose machine is not reached.
TEST(relay_silent_replicas, a_replica_that_is_not_reached_is_left_sooner)
{
    constexpr duration longest_wait = std::chrono::milliseconds(1400);
    relay_fleet fleet(
        relay_fleet_options{.engine_count = 4, .has_proxies = true});
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(100);
    }
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send("POST /stream/a HTTP/1.1\r\nHost: h\r\n"
                "Parsleytrack-Request-Id: id1\r\n"
                "Parsleytrack-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
    CHECK(caller.read_until("id: 2\n"));
    std::size_t used = 0;
    while (fleet.engines.at(used)->open_streams() == 0)
    {
        ++used;
    }
    const time_point begin = net::event_loop::now();
    fleet.replica_proxies.at(used)->set_fault(fault_proxy::fault::unreachable);
    CHECK(caller.read_until("id: 6\n"));
    CHECK(net::event_loop::now() - begin < longest_wait);
}

// Guards against ending an answer for its replica's silence when no other one
// could go on with it, here in a planned stop of the node.
TEST(relay_silent_replicas, the_only_replica_of_a_stream_is_not_left)
{
    for (const bool is_stopped : {false, true})
    {
        relay_fleet fleet(relay_fleet_options{.engine_count = 0});
        scripted_replica only(
            fleet.loop, [](const std::string&)
            { return silent_after(3, long_silence)("id1", 0); });
        fleet.store.put("servers/i-only", only.record("llm"));
        fleet.run_for(std::chrono::seconds(1));
        raw_caller caller(fleet.loop, fleet.front_address(0));
        caller.send("POST /stream/a HTTP/1.1\r\nHost: h\r\n"
                    "Parsleytrack-Request-Id: id1\r\n"
                    "Parsleytrack-Deadline-Ms: 5000\r\n"
                    "Content-Length: 0\r\n\r\n");
        CHECK(caller.read_until("id: 3\n"));
        if (is_stopped)
        {
            fleet.process(0).signal(SIGTERM);
        }
        CHECK(caller.read_until("id: 12\n"));
        CHECK(caller.read_until("\r\n0\r\n\r\n"));
    }
}

// The same for a request without a stream.
TEST(relay_silent_replicas, nor_is_the_only_replica_of_a_plain_request)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    scripted_replica only(fleet.loop,
                          [](const std::string&)
                          {
                              auto script =
                                  whole_answer("200 OK", "", "page")("id1", 0);
                              script.steps.front().pause = silence;
                              return script;
                          });
    fleet.store.erase("servers/i-web");
    fleet.store.put("servers/i-only", only.record("web"));
    fleet.run_for(std::chrono::seconds(1));
    CHECK_EQUAL(200, fleet.call(0, "POST", "/plain/a", "id1").status);
}
