#include "relay_support/relay_fleet.hpp"
#include "units/build_name.hpp"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// \param words The words of a command.
/// \returns Its output with --json.
nlohmann::json run_words(relay_fleet& fleet, std::vector<std::string> words)
{
    process_support::temporary_folder folder;
    words.insert(words.begin(), CLI_PROGRAM);
    words.emplace_back("--json");
    words.push_back("--nodes=" + to_string(fleet.metrics_address(0)));
    process_support::child_process command(words, folder.path("output"));
    CHECK(fleet.wait([&command] { return command.has_ended(); }));
    CHECK_EQUAL(0, command.exit_code());
    return nlohmann::json::parse(command.output());
}

/// \returns The output of a subcommand of `relay` with --json.
nlohmann::json run_command(relay_fleet& fleet, const std::string& subcommand)
{
    return run_words(fleet, {"relay", subcommand});
}

/// \returns The entry of a workspace in a list; null if it has none.
nlohmann::json find_workspace(const nlohmann::json& list,
                              const std::string& name)
{
    for (const auto& entry : list)
    {
        if (entry["name"] == name)
        {
            return entry;
        }
    }
    return {};
}

} // namespace

TEST_GROUP(relay_status){};

TEST(relay_status, the_command_line_shows_all_nodes)
{
    relay_fleet fleet(3);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 4).status);
    fleet.store.set_refusing(fleet.store_address(1), true);
    fleet.store.put("op/config", relay_fleet::configuration(9, "/moved/"));
    CHECK(fleet.wait(
        [&fleet]
        { return fleet.call(0, "POST", "/moved/a", "id1").status == 200; }));
    nlohmann::json all;
    CHECK(fleet.wait(
        [&]
        {
            all = run_command(fleet, "nodes");
            std::size_t jobs = 0;
            int refused = 0;
            for (const auto& node : all)
            {
                jobs += node["jobs"].size();
                refused += node["store"]["reachable"] == false ? 1 : 0;
            }
            return all.size() == 3 && jobs == 1 && refused == 1;
        }));
    std::size_t pools = 0;
    for (const auto& node : all)
    {
        CHECK_EQUAL(4, node["replicas"].size());
        CHECK_EQUAL(9, node["configuration"]["version"].get<int>());
        pools += node["pools"].size();
    }
    CHECK(pools > 0);
}

TEST(relay_status, an_unresponsive_node_is_listed)
{
    relay_fleet fleet(2);
    fleet.process(1).kill();
    const nlohmann::json all = run_command(fleet, "nodes");
    CHECK_EQUAL(2, all.size());
    CHECK(all[0].value("silent", false) || all[1].value("silent", false));
}

TEST(relay_status, metrics_show_outcomes_latencies_and_slots)
{
    relay_fleet fleet(1);
    fleet.engines[0]->behaviour = replica_stand_in::fault::full;
    for (int count = 0; count < 9; ++count)
    {
        fleet.call(0, "POST", "/stream/a", "id" + std::to_string(count));
    }
    CHECK_EQUAL(404, fleet.call(0, "POST", "/other/", "id").status);
    std::string text;
    CHECK(fleet.wait(
        [&]
        {
            text = fleet.metrics_text(0);
            return text.find("parsleytrack_slots{") != std::string::npos;
        }));
    for (const char* part :
         {R"(parsleytrack_requests_total{outcome="served",kind="streaming"} 9)",
          R"(parsleytrack_requests_total{outcome="no_route",kind="none"} 1)",
          R"(parsleytrack_replica_verdicts_total{verdict="not_run"})",
          R"(parsleytrack_slot_wait_seconds_bucket{kind="streaming")",
          R"(parsleytrack_first_output_seconds_bucket{kind="streaming")",
          R"(parsleytrack_store_calls{kind="watch"})",
          "parsleytrack_replicas_age_seconds",
          "parsleytrack_configuration_version 3"})
    {
        CHECK_TEXT(text.find(part) != std::string::npos, part);
    }
}

// Guards against an upgrade of which operators cannot see how far it is.
TEST(relay_status, each_node_names_its_build)
{
    relay_fleet fleet(2);
    const std::string build = build_name();
    CHECK_FALSE(build.empty());
    CHECK(
        fleet.wait([&fleet] { return fleet.status(0)["nodes"].size() == 2; }));
    for (const auto& node : run_command(fleet, "nodes"))
    {
        STRCMP_EQUAL(build.c_str(), node["build"].get<std::string>().c_str());
    }
    STRCMP_CONTAINS(
        ("parsleytrack_build_info{build=\"" + build + "\"} 1").c_str(),
        fleet.metrics_text(0).c_str());
    STRCMP_CONTAINS(("event=started node=n0 build=" + build).c_str(),
                    fleet.process(0).output().c_str());
}

// Guards against a page that grows with the number of workspaces, leaves out a
// busy one, or shows a key.
TEST(relay_status, the_busiest_workspaces_are_listed_and_summed)
{
    relay_fleet fleet(2);
    nlohmann::json document =
        nlohmann::json::parse(relay_fleet::configuration(4, "/plain/"));
    for (int number = 10; number < 40; ++number)
    {
        const std::string text = std::to_string(number);
        document["tenants"].push_back(
            {{"name", "w" + text}, {"apiKeys", {"secret-" + text}}});
    }
    // The last by name and by place, so that only its requests list it.
    document["tenants"].push_back({{"name", "x"},
                                   {"apiKeys", {"secret-x", "secret-y"}},
                                   {"ratePerS", 0.2},
                                   {"burst", 2},
                                   {"priority", 1}});
    fleet.store.put("op/config", document.dump());
    fleet.wait_ready(0);
    fleet.wait_ready(1);
    fleet.caller_headers = {{"Authorization", "Token secret-x"}};
    // The counts leave the page after 5 s, which may pass on a slow machine.
    CHECK(fleet.wait(
        [&fleet]
        {
            for (int node : {0, 1})
            {
                for (int number = 0; number < 10; ++number)
                {
                    fleet.call(node, "POST", "/plain/x", "r", "b");
                }
            }
            const nlohmann::json summary = run_words(fleet, {"workspaces"});
            const nlohmann::json found =
                find_workspace(summary["workspaces"], "x");
            return found.is_object() && found["nodes"] == 2 &&
                   found["refused"] > 0;
        }));
    const nlohmann::json status = fleet.status(0);
    CHECK_EQUAL(20, status["workspaces"].size());
    CHECK_EQUAL(31, status["workspace_totals"]["configured"].get<int>());
    CHECK(status.dump().find("secret") == std::string::npos);
    const nlohmann::json summary = run_words(fleet, {"workspaces"});
    CHECK_EQUAL(2, summary["nodes"].get<int>());
    CHECK(summary.dump().find("secret") == std::string::npos);
    const nlohmann::json limited = find_workspace(status["workspaces"], "x");
    CHECK(limited.is_object());
    DOUBLES_EQUAL(0.2, limited["rate"].get<double>(), 1e-9);
    DOUBLES_EQUAL(2.0, limited["burst"].get<double>(), 1e-9);
    CHECK_EQUAL(1, limited["priority"].get<int>());
    CHECK_EQUAL(2, limited["keys"].get<int>());
}
