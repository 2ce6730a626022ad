// Entries that another writer has left among those of the replicas.

#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
constexpr int nesting = 100'000;
constexpr std::size_t megabyte = 1024 * 1024;
/// Time in which a replica that registers or leaves must be known everywhere.
constexpr duration learn_time = std::chrono::seconds(3);

std::string repeated(const std::string& part, int count)
{
    std::string text;
    for (int number = 0; number < count; ++number)
    {
        text += part;
    }
    return text;
}

/// \returns A replica's entry whose address no replica has.
std::string entry(const std::string& address, const std::string& slots,
                  const std::string& more = "")
{
    return R"({"service":"llm","address":")" + address +
           R"(","zone":"z","slots":)" + slots + R"(,"state":"ready")" + more +
           "}";
}

/// \returns Keys and values of entries that name no replica.
std::vector<std::pair<std::string, std::string>> odd_entries()
{
    const std::string arrays = repeated("[", nesting) + repeated("]", nesting);
    const std::string objects =
        repeated("{\"a\":", nesting) + "1" + repeated("}", nesting);
    const std::string address = "127.0.0.1:9";
    return {{"servers/nested-a", arrays},
            {"servers/nested-b", entry(address, arrays)},
            {"servers/nested-c", entry(address, objects)},
            {"servers/nested-d", repeated("[", nesting)},
            {"servers/number-a", entry(address, "1e400")},
            {"servers/number-b", entry(address, "18446744073709551615")},
            {"servers/number-c", entry(address, "1e300")},
            {"servers/number-d", entry(address, "-1")},
            {"servers/port-a", entry("127.0.0.1:0", "4")},
            {"servers/port-b", entry("127.0.0.1:65536", "4")},
            {"servers/port-c", entry("127.0.0.1:99999999999", "4")},
            {"servers/port-d", entry("127.0.0.1:+80", "4")},
            {"servers/host", entry("host:80", "4")},
            {"servers/bytes", std::string("\xff\0\xfe", 3)},
            {"servers/", entry(address, "4")},
            {"servers/a\nb: c", entry(address, "4")},
            {"servers/" + std::string(192, 'i'), "{}"},
            {"servers/state",
             R"({"service":"llm","address":"127.0.0.1:9","zone":"z",)"
             R"("slots":4,"state":")" +
                 std::string(megabyte, 's') + "\"}"},
            {"servers/large",
             entry(address, "0",
                   ",\"more\":\"" + std::string(megabyte, 'x') + '"')}};
}

std::string next_id()
{
    static int number = 0;
    return "odd" + std::to_string(++number);
}

/// \returns Whether a node sends some of many requests to a replica.
bool uses_replica(relay_fleet& fleet, int node, const replica_stand_in& replica)
{
    constexpr int requests = 12;
    for (int count = 0; count < requests; ++count)
    {
        const std::string id = next_id();
        const auto answer = fleet.call(node, "POST", "/stream/a", id);
        CHECK_EQUAL(200, answer.status);
        if (replica.runs.contains(id))
        {
            return true;
        }
    }
    return false;
}

/// \returns Calls to the store by which all nodes follow lists.
std::uint64_t following_calls(relay_fleet& fleet)
{
    std::uint64_t calls = 0;
    for (int node = 0; node < node_count; ++node)
    {
        const nlohmann::json store = fleet.status(node)["store"];
        calls += store["reads"].get<std::uint64_t>() +
                 store["watches"].get<std::uint64_t>();
    }
    return calls;
}

void check_all_run(relay_fleet& fleet)
{
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_FALSE(fleet.process(node).has_ended());
        CHECK_EQUAL(200,
                    fleet.call(node, "POST", "/plain/a", next_id()).status);
    }
}

/// \returns Whether a node knows of one engine, which is the given one.
bool knows_only(relay_fleet& fleet, int node, const replica_stand_in& replica)
{
    bool found = false;
    const nlohmann::json document = fleet.status(node);
    for (const auto& listed : document["replicas"])
    {
        const bool is_engine = listed["service"] == "llm";
        found = found || listed["id"] == replica.name();
        if (is_engine && listed["id"] != replica.name())
        {
            return false;
        }
    }
    return found;
}

/// Replaces all engines by another one, and checks that all nodes learn it.
void check_changes_arrive(relay_fleet& fleet)
{
    const std::string name = "i-" + next_id();
    fleet.engines.push_back(
        std::make_unique<replica_stand_in>(fleet.loop, name));
    const replica_stand_in& added = *fleet.engines.back();
    fleet.store.put("servers/" + name, added.record("llm"));
    for (const auto& engine : fleet.engines)
    {
        if (engine.get() != &added)
        {
            fleet.store.erase("servers/" + engine->name());
        }
    }
    const time_point limit = net::event_loop::now() + learn_time;
    for (int node = 0; node < node_count; ++node)
    {
        while (!knows_only(fleet, node, added))
        {
            CHECK(net::event_loop::now() < limit);
            fleet.run_for(std::chrono::milliseconds(20));
        }
        const std::string id = next_id();
        CHECK_EQUAL(200, fleet.call(node, "POST", "/stream/a", id).status);
        CHECK(added.runs.contains(id));
        // The engine and the web replica.
        CHECK_EQUAL(2, fleet.status(node)["replicas"].size());
    }
}

void check_odd_entries(int max_direct_followers)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    // Nodes that read through others begin to after a second.
    fleet.run_for(std::chrono::seconds(3));
    const std::uint64_t before = following_calls(fleet);
    const time_point started = net::event_loop::now();
    const auto entries = odd_entries();
    for (const auto& [key, value] : entries)
    {
        fleet.store.put(key, value);
        fleet.run_for(std::chrono::milliseconds(600));
        check_all_run(fleet);
    }
    const auto elapsed_s =
        std::chrono::duration<double>(net::event_loop::now() - started).count();
    // Changes are collected for half a second, so that each node watches the
    // list at most twice a second. It re-reads the list for no entry.
    constexpr double max_calls_per_second = 3.0;
    CHECK(static_cast<double>(following_calls(fleet) - before) <=
          node_count * max_calls_per_second * elapsed_s);
    check_changes_arrive(fleet);
    // A node that starts reads the odd entries in the listing.
    fleet.process(1).kill();
    fleet.start(1);
    fleet.wait_ready(1);
    check_all_run(fleet);
    check_changes_arrive(fleet);
    for (const auto& [key, value] : entries)
    {
        fleet.store.erase(key);
    }
    check_changes_arrive(fleet);
    check_all_run(fleet);
}

} // namespace

TEST_GROUP(relay_odd_entries){};

// An odd entry ended the nodes that read it, or was read again and again while
// later changes did not arrive.
TEST(relay_odd_entries, nodes_that_watch_the_store_skip_them_and_follow_on)
{
    check_odd_entries(node_count);
}

// A node passes an odd entry on to those that follow it, which may end or read
// the store instead.
TEST(relay_odd_entries, nodes_that_follow_others_skip_them_and_follow_on)
{
    check_odd_entries(1);
}

// An odd entry in the place of a replica's own names no replica.
TEST(relay_odd_entries, a_replica_whose_entry_becomes_odd_is_no_longer_used)
{
    relay_fleet fleet(relay_fleet_options{.node_count = node_count,
                                          .max_direct_followers = 1});
    for (const std::string& odd :
         {entry("127.0.0.1:65536", "4"), repeated("[", nesting),
          entry(to_string(fleet.engines[0]->listen_address()), "1e400")})
    {
        fleet.store.put("servers/i-0", odd);
        fleet.run_for(learn_time);
        for (int node = 0; node < node_count; ++node)
        {
            CHECK_FALSE(uses_replica(fleet, node, *fleet.engines[0]));
        }
        fleet.store.put("servers/i-0", fleet.engines[0]->record("llm"));
        fleet.run_for(learn_time);
        for (int node = 0; node < node_count; ++node)
        {
            CHECK(uses_replica(fleet, node, *fleet.engines[0]));
        }
    }
}

// The store's documents are text: an id that is none must not end the process
// that encodes it.
TEST(relay_odd_entries, a_job_whose_id_is_no_text_does_no_harm)
{
    relay_fleet fleet(node_count);
    const std::string items =
        R"({"items":[{"id":"a","path":"/batch/x","headers":{},"body":"YQ==",)"
        R"("tokens":100}]})";
    const auto answer = fleet.call(0, "POST", "/batch/a", "job\xff", items);
    fleet.run_for(std::chrono::seconds(1));
    check_all_run(fleet);
    CHECK_EQUAL(400, answer.status);
    for (const char* method : {"GET", "DELETE"})
    {
        CHECK(fleet.call(1, method, "/v1/lots/job%ff").status >= 400);
        check_all_run(fleet);
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 1).status);
    CHECK_EQUAL(1, fleet.results(0, "job").size());
}

// A part of a prompt that is no text is listed in the status document once it
// has crashed replicas.
TEST(relay_odd_entries, a_prompt_part_that_is_no_text_does_no_harm)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count, .engine_count = 8});
    const std::string bad_part = "\xff\xfe:10";
    const std::string parts = "aa:20," + bad_part;
    for (auto& engine : fleet.engines)
    {
        engine->crashing_part = bad_part;
        engine->on_crash = [&fleet, &engine]
        {
            engine->restart();
            fleet.store.put("servers/" + engine->name(), engine->record("llm"));
        };
    }
    // The last part of a prompt is the request's own.
    constexpr int requests = 20;
    for (int count = 0; count < requests; ++count)
    {
        const std::string own = ",e" + std::to_string(count) + ":20";
        fleet.prompt_parts = "aa:20" + own;
        fleet.call(count % node_count, "POST", "/once/a", next_id());
        fleet.prompt_parts = parts + own;
        fleet.call(count % node_count, "POST", "/once/a", next_id());
        fleet.run_for(std::chrono::milliseconds(50));
    }
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_EQUAL(1, fleet.status(node)["prompt_parts"].size());
    }
    fleet.prompt_parts.clear();
    check_all_run(fleet);
}

// A configuration that nests deeply is copied on the stack.
TEST(relay_odd_entries, an_odd_configuration_does_no_harm)
{
    relay_fleet fleet(node_count);
    nlohmann::json document =
        nlohmann::json::parse(relay_fleet::configuration(9, "/plain/"));
    document["limits"]["more"] = "here";
    std::string text = document.dump();
    text.replace(text.find("\"here\""), std::string("\"here\"").size(),
                 repeated("[", nesting) + repeated("]", nesting));
    fleet.store.put("op/config", text);
    fleet.run_for(std::chrono::seconds(2));
    check_all_run(fleet);
    fleet.store.put("op/config", relay_fleet::configuration(11, "/after/"));
    CHECK(fleet.wait(
        [&fleet] {
            return fleet.call(2, "POST", "/after/a", next_id()).status == 200;
        }));
}
