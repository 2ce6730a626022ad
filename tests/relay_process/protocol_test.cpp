#include "relay_support/expected_output.hpp"
#include "relay_support/raw_caller.hpp"
#include "relay_support/raw_replica.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Half of the smallest limit of the deployments.
constexpr std::size_t max_node_bytes = 44 * 1024 * 1024;

const std::string head_fields = "Host: h\r\nParsleytrack-Deadline-Ms: 5000\r\n";

} // namespace

TEST_GROUP(relay_replica_protocol){};

TEST(relay_replica_protocol, an_extra_response_reaches_no_caller)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "i-extra",
                       raw_replica::fault::extra_response);
    fleet.store.put("servers/" + faulty.name(), faulty.record("web"));
    CHECK(fleet.wait(
        [&fleet, &faulty]
        {
            fleet.call(0, "POST", "/plain/a", "warm");
            return !faulty.runs.empty();
        }));
    for (int count = 0; count < 40; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        const auto response = fleet.call(0, "POST", "/plain/a", id, "body");
        CHECK_EQUAL(200, response.status);
        STRCMP_EQUAL(("page of " + id).c_str(), response.body.c_str());
    }
}

// Guards against sending a request on a connection on which a second response
// waits already: it would cost the request its attempt.
TEST(relay_replica_protocol, a_connection_with_a_second_response_is_not_reused)
{
    relay_fleet fleet(1);
    fleet.store.erase("servers/i-web");
    raw_replica faulty(fleet.loop, "i-extra",
                       raw_replica::fault::extra_response);
    fleet.store.put("servers/" + faulty.name(), faulty.record("web"));
    CHECK(fleet.wait(
        [&fleet, &faulty]
        {
            fleet.call(0, "POST", "/plain/a", "warm");
            return !faulty.runs.empty();
        }));
    for (int count = 0; count < 10; ++count)
    {
        const std::string id = "id" + std::to_string(count);
        CHECK_EQUAL(200, fleet.call(0, "POST", "/plain/a", id).status);
        CHECK_EQUAL(1, faulty.runs[id]);
    }
}

TEST(relay_replica_protocol, an_endless_event_does_not_block_requests)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "i-endless",
                       raw_replica::fault::endless_event);
    fleet.store.put("servers/" + faulty.name(), faulty.record("llm"));
    CHECK_EQUAL(202, fleet.submit(0, "job", 8).status);
    int sent = 0;
    CHECK(fleet.wait(
        [&]
        {
            const auto response = fleet.call(0, "POST", "/stream/a",
                                             "id" + std::to_string(sent++));
            CHECK_EQUAL(200, response.status);
            return !faulty.runs.empty() && sent > 10;
        }));
    CHECK_EQUAL(8, fleet.results(0, "job").size());
}

// Bytes that are no response may come without end, until the caller closes.
TEST(relay_replica_protocol, endless_heads_and_chunks_do_not_fill_the_memory)
{
    for (const auto fault :
         {raw_replica::fault::endless_head, raw_replica::fault::endless_chunk})
    {
        relay_fleet fleet(1);
        raw_replica faulty(fleet.loop, "i-endless", fault);
        fleet.store.put("servers/" + faulty.name(), faulty.record("web"));
        int sent = 0;
        CHECK(fleet.wait(
            [&]
            {
                const auto response = fleet.call(0, "POST", "/plain/a",
                                                 "id" + std::to_string(sent++));
                CHECK_EQUAL(200, response.status);
                return !faulty.runs.empty() && sent > 10;
            }));
        CHECK(fleet.process(0).peak_memory_bytes() < max_node_bytes);
    }
}

// Neither is an item's slot held for ever, nor does the job wait.
TEST(relay_replica_protocol, an_item_at_a_stalled_replica_runs_elsewhere)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "a-stalled", raw_replica::fault::trickle);
    fleet.store.put("servers/" + faulty.name(), faulty.record("llm"));
    fleet.run_for(std::chrono::seconds(1));
    CHECK_EQUAL(202, fleet.submit(0, "job", 8).status);
    CHECK_EQUAL(8, fleet.results(0, "job").size());
    CHECK_FALSE(faulty.runs.empty());
}

TEST(relay_replica_protocol, a_reset_after_sending_is_not_treated_as_a_refusal)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "i-reset", raw_replica::fault::reset);
    fleet.store.put("servers/" + faulty.name(), faulty.record("llm"));
    for (const auto& engine : fleet.engines)
    {
        fleet.store.erase("servers/" + engine->name());
    }
    CHECK(fleet.wait(
        [&fleet, &faulty]
        {
            const auto response = fleet.call(0, "POST", "/once/a", "id1");
            return !faulty.runs.empty() && response.status == 502;
        }));
    CHECK_EQUAL(1, faulty.runs["id1"]);
}

// A stream may have neither a length nor chunks and end with its connection.
TEST(relay_replica_protocol, a_stream_that_ends_with_its_connection_is_whole)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    raw_replica unframed(fleet.loop, "i-unframed",
                         raw_replica::fault::unframed_stream);
    fleet.store.put("servers/" + unframed.name(), unframed.record("llm"));
    for (const char* path : {"/once/a", "/stream/a"})
    {
        CHECK(fleet.wait(
            [&fleet, path] {
                return fleet.call(0, "POST", path, "id1").body ==
                       expected_stream();
            }));
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 4).status);
    for (const auto& entry : fleet.results(0, "job"))
    {
        STRCMP_EQUAL(expected_output().c_str(),
                     entry["output"].get<std::string>().c_str());
    }
}

// Guards against passing on as whole what ended inside an event.
TEST(relay_replica_protocol, a_stream_that_ends_inside_an_event_is_broken_off)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 1});
    raw_replica broken(fleet.loop, "a-broken-off",
                       raw_replica::fault::unframed_broken_stream);
    fleet.store.put("servers/" + broken.name(), broken.record("llm"));
    int broken_off = 0;
    int whole = 0;
    CHECK(fleet.wait(
        [&]
        {
            const auto response =
                fleet.call(0, "POST", "/once/a",
                           "once" + std::to_string(broken_off + whole));
            if (response.status == 200)
            {
                ++whole;
                STRCMP_EQUAL(expected_stream().c_str(), response.body.c_str());
            }
            else
            {
                ++broken_off;
            }
            return broken_off > 0 && whole > 0;
        }));
}

// The same for a stream that may be resumed at another replica.
TEST(relay_replica_protocol, a_stream_that_ends_inside_an_event_goes_on)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 1});
    raw_replica broken(fleet.loop, "a-broken-off",
                       raw_replica::fault::unframed_broken_stream);
    fleet.store.put("servers/" + broken.name(), broken.record("llm"));
    int count = 0;
    CHECK(fleet.wait(
        [&]
        {
            const std::string id = "id" + std::to_string(++count);
            const auto response = fleet.call(0, "POST", "/stream/a", id);
            CHECK_EQUAL(200, response.status);
            STRCMP_EQUAL(expected_stream().c_str(), response.body.c_str());
            return broken.runs.contains(id);
        }));
}

TEST_GROUP(relay_caller_limits){};

TEST(relay_caller_limits, a_head_over_the_limit_is_refused)
{
    // The fleet's configuration allows 16 KiB of headers.
    relay_fleet fleet(1);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send("POST /plain/a HTTP/1.1\r\n" + head_fields +
                "Parsleytrack-Request-Id: id1\r\nFiller: " +
                std::string(20'000, 'x') + "\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 431 ", caller.read_to_end().c_str());
    CHECK(fleet.web->runs.empty());
}

TEST(relay_caller_limits, a_head_that_does_not_end_in_time_is_refused)
{
    relay_fleet fleet(1);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send("POST /plain/a HTTP/1.1\r\nHost: h\r\n");
    STRCMP_CONTAINS("HTTP/1.1 408 ", caller.read_to_end().c_str());
}

TEST(relay_caller_limits, a_body_that_does_not_end_in_time_is_refused)
{
    relay_fleet fleet(1);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send(
        "POST /plain/a HTTP/1.1\r\n" + head_fields +
        "Parsleytrack-Request-Id: id1\r\nContent-Length: 10\r\n\r\nabc");
    STRCMP_CONTAINS("HTTP/1.1 408 ", caller.read_to_end().c_str());
    CHECK(fleet.web->runs.empty());
}

TEST(relay_caller_limits, an_idle_connection_is_closed_after_its_limit)
{
    relay_fleet fleet(1);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    const time_point begin = net::event_loop::now();
    caller.send("POST /plain/a HTTP/1.1\r\n" + head_fields +
                "Parsleytrack-Request-Id: id1\r\nContent-Length: 0\r\n\r\n");
    const std::string response = caller.read_to_end();
    STRCMP_CONTAINS("page of id1", response.c_str());
    // Callers reuse a connection for up to four fifths of the limit.
    CHECK(net::event_loop::now() - begin >= relay_fleet::idle_timeout);
}
