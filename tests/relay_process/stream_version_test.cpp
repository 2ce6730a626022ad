#include "relay_support/expected_output.hpp"
#include "two_versions.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_process;
using namespace parsleytrack::relay_support;

namespace
{

std::string stream_after_last_event()
{
    std::string text;
    for (int number = last_event + 1; number <= replica_stand_in::stream_events;
         ++number)
    {
        text += "id: " + std::to_string(number) + "\ndata: t" +
                std::to_string(number) + "\n\n";
    }
    return text;
}

relay_fleet_options with_one_replica(int nodes)
{
    relay_fleet_options options;
    options.node_count = nodes;
    options.engine_count = 1;
    return options;
}

} // namespace

TEST_GROUP(relay_stream_versions){};

// Guards against one answer that holds events of two software versions: its
// replica breaks off, and the next one runs another version.
TEST(relay_stream_versions, an_answer_goes_on_at_the_version_that_began_it)
{
    relay_fleet_options options;
    options.engine_count = 2;
    two_versions test(options);
    test.begin_stream("one");
    test.start_newer_replicas();
    for (const auto& engine : test.fleet.engines)
    {
        if (engine->open_streams() > 0)
        {
            engine->behaviour = replica_stand_in::fault::truncating;
            continue;
        }
        engine->event_count = replica_stand_in::stream_events;
    }
    CHECK(
        test.fleet.wait([&test] { return test.first_response->status >= 0; }));
    CHECK_EQUAL(200, test.first_response->status);
    CHECK_EQUAL(0, test.resumed_at_newer());
    CHECK_EQUAL(1, test.resumed_at_older());
}

// The same where no other replica of the version is left.
TEST(relay_stream_versions, an_answer_breaks_off_when_its_version_has_left)
{
    two_versions test(with_one_replica(1));
    test.begin_stream("one");
    test.start_newer_replicas();
    test.fleet.engines[0]->behaviour = replica_stand_in::fault::truncating;
    CHECK(
        test.fleet.wait([&test] { return test.first_response->status >= 0; }));
    CHECK_EQUAL(0, test.first_response->status);
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// Guards against a caller's stream that goes on at another version because the
// node that knows the version is gone.
TEST(relay_stream_versions, another_node_goes_on_at_the_same_version)
{
    relay_fleet_options options = with_one_replica(2);
    options.storage_count = 2;
    two_versions test(options);
    test.begin_stream("one");
    test.start_newer_replicas();
    test.fleet.process(0).kill();
    test.end_streams();
    const auto response = test.take_up(1, "one");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL(stream_after_last_event().c_str(), response.body.c_str());
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// Guards against the same when all nodes that callers use were killed at once:
// nothing that they knew is left.
TEST(relay_stream_versions, streams_go_on_after_all_nodes_were_killed)
{
    relay_fleet_options options = with_one_replica(2);
    options.storage_count = 2;
    two_versions test(options);
    test.start_newer_replicas();
    // The newer replicas begin no stream.
    for (const auto& replica : test.newer)
    {
        replica->behaviour = replica_stand_in::fault::full;
    }
    test.begin_stream("one");
    for (const auto& replica : test.newer)
    {
        replica->behaviour = replica_stand_in::fault::none;
    }
    test.kill_and_restart_both();
    const auto response = test.take_up(1, "one");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL(stream_after_last_event().c_str(), response.body.c_str());
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// The same for a stream that began while there was one version only.
TEST(relay_stream_versions, streams_begun_before_a_release_go_on_after_a_kill)
{
    relay_fleet_options options = with_one_replica(2);
    options.storage_count = 2;
    two_versions test(options);
    test.begin_stream("one");
    test.start_newer_replicas();
    test.fleet.run_for(std::chrono::milliseconds(200));
    test.kill_and_restart_both();
    const auto response = test.take_up(0, "one");
    CHECK_EQUAL(200, response.status);
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// Guards against an answer of 200 that is joined from two versions: the one
// that began the stream has just left, and nothing tells the restarted nodes
// which it was.
TEST(relay_stream_versions, a_stream_of_unknown_version_is_refused)
{
    two_versions test(with_one_replica(1));
    test.begin_stream("one");
    test.start_newer_replicas();
    test.fleet.process(0).kill();
    test.end_streams();
    test.remove_older_replicas_and_restart();
    const auto response = test.take_up(0, "one");
    CHECK_EQUAL(503, response.status);
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// Guards against the same where the version is known and no replica is left.
TEST(relay_stream_versions, a_stream_whose_version_has_left_is_refused)
{
    relay_fleet_options options = with_one_replica(2);
    options.storage_count = 1;
    two_versions test(options);
    test.begin_stream("one");
    test.start_newer_replicas();
    test.remove_older_replicas(1);
    test.fleet.process(0).kill();
    test.fleet.run_for(std::chrono::seconds(1));
    const auto response = test.take_up(1, "one");
    CHECK_EQUAL(503, response.status);
    CHECK_EQUAL(0, test.resumed_at_newer());
    // A new stream is served.
    CHECK_EQUAL(200, test.fleet.call(1, "POST", "/stream/a", "new").status);
}

// Guards against refusing streams whose version is certain: after a restart of
// all nodes no other version has been in service.
TEST(relay_stream_versions, streams_of_the_only_version_go_on_after_a_kill)
{
    relay_fleet_options options = with_one_replica(1);
    options.storage_count = 1;
    two_versions test(options);
    // For longer than a stream lasts.
    test.fleet.run_for(std::chrono::seconds(7));
    test.begin_stream("one");
    test.fleet.process(0).kill();
    test.end_streams();
    test.restart(0);
    const auto response = test.take_up(0, "one");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL(stream_after_last_event().c_str(), response.body.c_str());
}

// The same when the storage nodes were killed at the same moment: what was in
// use before is in the store.
TEST(relay_stream_versions,
     streams_of_the_only_version_go_on_after_all_is_killed)
{
    relay_fleet_options options = with_one_replica(1);
    options.storage_count = 1;
    two_versions test(options);
    test.begin_stream("one");
    test.fleet.run_for(std::chrono::milliseconds(500));
    test.fleet.process(0).kill();
    test.fleet.process(1).kill();
    test.end_streams();
    test.fleet.start(1);
    test.restart(0);
    const auto response = test.take_up(0, "one");
    CHECK_EQUAL_TEXT(200, response.status, response.body.c_str());
    STRCMP_EQUAL(stream_after_last_event().c_str(), response.body.c_str());
}

// The other side: the version that is left is not the only one there was.
TEST(relay_stream_versions, all_killed_with_two_versions_leaves_streams_unknown)
{
    relay_fleet_options options = with_one_replica(1);
    options.storage_count = 1;
    two_versions test(options);
    test.begin_stream("one");
    test.start_newer_replicas();
    test.fleet.run_for(std::chrono::milliseconds(1500));
    test.fleet.process(0).kill();
    test.fleet.process(1).kill();
    test.end_streams();
    test.fleet.start(1);
    test.remove_older_replicas_and_restart();
    const auto response = test.take_up(0, "one");
    CHECK_EQUAL(503, response.status);
    CHECK_EQUAL(0, test.resumed_at_newer());
}

// Guards against a node that is cut off from the store, or has stood still, and
// takes the only version that it knows for the only one in use.
TEST(relay_stream_versions, a_node_out_of_step_asks_for_other_versions)
{
    for (const bool is_cut_off : {true, false})
    {
        relay_fleet_options options = with_one_replica(2);
        options.has_proxies = true;
        two_versions test(options);
        // For longer than a stream lasts.
        test.fleet.run_for(std::chrono::seconds(8));
        if (is_cut_off)
        {
            test.fleet.store_proxies[1]->set_fault(fault_proxy::fault::blocked);
        }
        else
        {
            test.fleet.process(1).signal(SIGSTOP);
        }
        test.fleet.engines[0]->behaviour = replica_stand_in::fault::full;
        test.start_newer_replicas();
        for (const auto& replica : test.newer)
        {
            replica->event_interval = std::chrono::milliseconds(50);
            replica->event_count = 1000;
        }
        test.fleet.start_call(0, "POST", "/stream/a", "one", "",
                              test.first_response);
        CHECK(test.fleet.wait(
            [&test] {
                return test.newer[0]->open_streams() +
                           test.newer[1]->open_streams() >
                       0;
            }));
        test.fleet.run_for(std::chrono::milliseconds(50 * (last_event + 1)));
        test.fleet.process(0).kill();
        test.fleet.engines[0]->behaviour = replica_stand_in::fault::none;
        if (!is_cut_off)
        {
            test.fleet.process(1).signal(SIGCONT);
        }
        const auto response = test.take_up(1, "one");
        CHECK_FALSE(response.status == 200);
        CHECK_EQUAL(0, test.resumed_at_older());
    }
}

// Guards against the output of an item that is joined from two versions, by an
// owner that takes the job over.
TEST(relay_stream_versions, items_go_on_at_the_version_that_began_them)
{
    two_versions test(with_one_replica(1));
    test.fleet.engines[0]->event_interval = std::chrono::milliseconds(500);
    CHECK_EQUAL(202, test.fleet.submit(0, "job", 2).status);
    test.fleet.run_for(std::chrono::seconds(4));
    test.start_newer_replicas();
    test.fleet.process(0).kill();
    test.end_streams();
    test.restart(0);
    CHECK_EQUAL(2, test.fleet.results(0, "job").size());
    CHECK_EQUAL(0, test.resumed_at_newer());
    CHECK(test.resumed_at_older() > 0);
}

// Guards against items that wait for ever for a version that has left, or that
// go on at another one: they start anew.
TEST(relay_stream_versions, items_start_anew_when_their_version_has_left)
{
    two_versions test(with_one_replica(1));
    test.fleet.engines[0]->event_interval = std::chrono::milliseconds(500);
    CHECK_EQUAL(202, test.fleet.submit(0, "job", 2).status);
    test.fleet.run_for(std::chrono::seconds(4));
    test.start_newer_replicas();
    test.fleet.process(0).kill();
    test.remove_older_replicas_and_restart();
    const nlohmann::json results = test.fleet.results(0, "job");
    CHECK_EQUAL(2, results.size());
    for (const auto& entry : results)
    {
        STRCMP_EQUAL(expected_output().c_str(),
                     entry["output"].get<std::string>().c_str());
    }
    CHECK_EQUAL(0, test.resumed_at_newer());
}
