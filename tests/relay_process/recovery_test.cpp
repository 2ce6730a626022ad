#include "process_support/child_process.hpp"
#include "process_support/temporary_folder.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// \returns The first page of a job's results, or an empty object if the
/// request fails.
nlohmann::json read_page(relay_fleet& fleet, int node, const std::string& job)
{
    const auto response =
        fleet.call(node, "GET", "/v1/lots/" + job + "?after=0");
    return response.status == 200 ? nlohmann::json::parse(response.body)
                                  : nlohmann::json::object();
}

void restart_all(relay_fleet& fleet, int nodes)
{
    for (int node = 0; node < nodes; ++node)
    {
        fleet.process(node).kill();
    }
    for (int node = 0; node < nodes; ++node)
    {
        fleet.start(node);
    }
    for (int node = 0; node < nodes; ++node)
    {
        fleet.wait_ready(node);
    }
}

} // namespace

TEST_GROUP(relay_recovery){};

TEST(relay_recovery, results_that_were_read_keep_their_positions)
{
    relay_fleet fleet(3);
    CHECK_EQUAL(202, fleet.submit(0, "job", 40).status);
    nlohmann::json before;
    CHECK(fleet.wait(
        [&]
        {
            before = read_page(fleet, 1, "job");
            return before.contains("results") && before["results"].size() > 3;
        }));
    restart_all(fleet, 3);
    const nlohmann::json all = fleet.results(2, "job");
    CHECK_EQUAL(40, all.size());
    for (std::size_t index = 0; index < before["results"].size(); ++index)
    {
        CHECK(before["results"][index] == all[index]);
    }
}

TEST(relay_recovery, a_cancelled_job_stays_cancelled)
{
    relay_fleet fleet(2);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 5).status);
    CHECK_EQUAL(200, fleet.call(1, "DELETE", "/v1/lots/job").status);
    restart_all(fleet, 2);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
    }
    // Longer than it takes the nodes to find jobs without an owner.
    fleet.run_for(std::chrono::seconds(4));
    for (const auto& engine : fleet.engines)
    {
        CHECK(engine->runs.empty());
    }
    CHECK_EQUAL(202, fleet.submit(1, "job", 5).status);
    fleet.run_for(std::chrono::seconds(1));
    CHECK(fleet.engines[0]->runs.empty());
}

TEST(relay_recovery, the_newest_configuration_applies_after_a_restart)
{
    relay_fleet fleet(2);
    fleet.store.put("op/config", relay_fleet::configuration(9, "/moved/"));
    restart_all(fleet, 2);
    for (int node = 0; node < 2; ++node)
    {
        CHECK_EQUAL(200, fleet.call(node, "POST", "/moved/a", "id1").status);
        CHECK_EQUAL(404, fleet.call(node, "POST", "/plain/a", "id2").status);
    }
}

TEST_GROUP(relay_configuration){};

TEST(relay_configuration, an_older_version_is_ignored)
{
    relay_fleet fleet(1);
    fleet.store.put("op/config", relay_fleet::configuration(9, "/moved/"));
    CHECK(fleet.wait(
        [&fleet]
        { return fleet.call(0, "POST", "/moved/a", "id1").status == 200; }));
    fleet.store.put("op/config", relay_fleet::configuration(8, "/older/"));
    fleet.run_for(std::chrono::milliseconds(500));
    CHECK_EQUAL(200, fleet.call(0, "POST", "/moved/a", "id2").status);
    CHECK_EQUAL(404, fleet.call(0, "POST", "/older/a", "id3").status);
}

TEST(relay_configuration, an_invalid_version_leaves_the_current_one_active)
{
    relay_fleet fleet(1);
    fleet.store.put("op/config", R"({"version":10,"routes":7})");
    fleet.store.put("op/config", "not a document");
    fleet.run_for(std::chrono::milliseconds(500));
    CHECK_EQUAL(200, fleet.call(0, "POST", "/plain/a", "id1").status);
    fleet.store.put("op/config", relay_fleet::configuration(11, "/moved/"));
    CHECK(fleet.wait(
        [&fleet]
        { return fleet.call(0, "POST", "/moved/a", "id2").status == 200; }));
}

// The settings may change while the process that reads them is starting.
TEST(relay_configuration, a_reload_while_starting_does_not_end_the_node)
{
    using std::chrono::milliseconds;
    const process_support::temporary_folder folder;
    const std::string settings = folder.path("settings.json");
    CHECK_EQUAL(0, ::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR));
    process_support::child_process node(
        {DAEMON_PROGRAM, "--relay", "--settings=" + settings},
        folder.path("log"));
    // Succeeds once the node waits for its settings.
    int descriptor = -1;
    for (int attempt = 0; attempt < 500 && descriptor < 0; ++attempt)
    {
        descriptor = ::open(settings.c_str(), O_WRONLY | O_NONBLOCK);
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(descriptor >= 0);
    node.signal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK_FALSE(node.has_ended());
    ::close(descriptor);
}
