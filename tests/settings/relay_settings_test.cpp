#include "settings/relay_settings_loader.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::settings;

TEST_GROUP(relay_settings){
    static std::size_t problems_in(const std::string& text){
        const auto outcome = parse_relay_settings(text, "file");
const auto* problems = std::get_if<findings>(&outcome);
return problems == nullptr ? 0 : problems->size();
}
}
;

TEST(relay_settings, reads_a_node_that_serves_callers)
{
    const auto outcome = parse_relay_settings(
        R"({// As the deploy template writes it.
            "node":{"id":"n","region":"r","availability_zone":"z","cores":0.25,
                    "memory_mb":88},
            "listen":{"front":"10.0.0.1:80","ready":"10.0.0.1:81",
                      "directory":"10.0.0.1:82","peer":"10.0.0.1:7000"},
            "seeds":["10.0.0.2:9999"],"store":{"address":"10.0.0.3:1"},
            "addresses":{"validity_s":2},"stop":{"limit_s":8}})",
        "file");
    const auto& read = std::get<relay_settings>(outcome);
    CHECK_EQUAL(250, read.capacity_millicores);
    CHECK_EQUAL(88 * 1024 * 1024, read.memory.count());
    CHECK_EQUAL(80, read.front->port);
    // The port of a seed is replaced by the peer port, which is the same on
    // all nodes.
    CHECK_EQUAL(7000, read.seeds.at(0).port);
    CHECK(read.stop_timeout == std::chrono::seconds(8));
}

TEST(relay_settings, a_storage_node_does_not_listen_for_callers)
{
    const auto outcome = parse_relay_settings(
        R"({"node":{"id":"n","region":"r","availability_zone":"z"},
            "listen":{"front":"","peer":"10.0.0.1:7000"},"seeds":[],
            "store":{"address":"10.0.0.3:1"}})",
        "file");
    const auto& read = std::get<relay_settings>(outcome);
    CHECK_FALSE(read.front.has_value());
    CHECK_EQUAL(256 * 1024 * 1024, read.memory.count());
}

TEST(relay_settings, a_memory_limit_must_be_a_number_within_bounds)
{
    for (const std::string memory : {"0", "-1", "\"88\"", "1e9"})
    {
        CHECK_EQUAL(
            1, problems_in(
                   R"({"node":{"id":"n","region":"r","availability_zone":"z",)"
                   R"("memory_mb":)" +
                   memory +
                   R"(},"listen":{"peer":"10.0.0.1:7000"},"seeds":[],)"
                   R"("store":{"address":"10.0.0.3:1"}})"));
    }
}

// Guards against a limit that takes effect where operators have not asked for
// it: nodes without the store would refuse all keys.
TEST(relay_settings, keys_need_no_confirmation_unless_strict)
{
    const std::string head =
        R"({"node":{"id":"n","region":"r","availability_zone":"z"},
            "listen":{"front":"","peer":"10.0.0.1:7000"},"seeds":[],
            "store":{"address":"10.0.0.3:1"},"keys":)";
    const auto read = [&head](const std::string& keys)
    {
        return std::get<relay_settings>(
            parse_relay_settings(head + keys + "}", "file"));
    };
    CHECK_FALSE(read(R"({"confirmed_within_s":2})").key_confirmation);
    CHECK(read(R"({"strict":true,"confirmed_within_s":2})").key_confirmation ==
          std::chrono::seconds(2));
}

TEST(relay_settings, reports_all_findings_together)
{
    CHECK_EQUAL(1, problems_in("{"));
    CHECK_EQUAL(5, problems_in(
                       R"({"node":{"region":"r","availability_zone":"z"},
                           "listen":{"front":"10.0.0.1:80","peer":"x"},
                           "seeds":[],"store":{"address":""},"other":1})"));
}

TEST(relay_settings, reads_how_closely_allotments_are_kept)
{
    const std::string start =
        R"({"node":{"id":"n","region":"r","availability_zone":"z"},
            "listen":{"peer":"10.0.0.1:7000"},"seeds":[],
            "store":{"address":"10.0.0.3:1"})";
    const auto usual = parse_relay_settings(start + "}", "file");
    const auto& defaults = std::get<relay_settings>(usual).allotments;
    CHECK(defaults.window == std::chrono::seconds(5));
    DOUBLES_EQUAL(0.1, defaults.overage, 1e-9);
    DOUBLES_EQUAL(20.0, defaults.slack, 1e-9);
    const auto other = parse_relay_settings(
        start + R"(,"allotments":{"window_s":2.5,"overage":0.2,"slack":40}})",
        "file");
    const auto& read = std::get<relay_settings>(other).allotments;
    CHECK(read.window == std::chrono::milliseconds(2500));
    DOUBLES_EQUAL(0.2, read.overage, 1e-9);
    DOUBLES_EQUAL(40.0, read.slack, 1e-9);
    // A lease of no time and a bucket without a request would refuse all.
    CHECK_EQUAL(
        3,
        problems_in(start +
                    R"(,"allotments":{"window_s":0,"overage":0,"slack":0}})"));
}
