#include "test_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;

namespace
{

constexpr duration in_force_limit = std::chrono::seconds(13);

std::string make_note(const std::string& id, const std::string& model)
{
    return R"({"note_id":")" + id + R"(","added":[{"kind":"model","name":")" +
           model + R"(","version":"1","service":"rota"}]})";
}

std::string put_target(std::int64_t expected)
{
    return "/v1/release?expected_version=" + std::to_string(expected);
}

} // namespace

TEST_GROUP(release){};

TEST(release, racing_operators_and_resent_notes)
{
    test_fleet fleet(3);
    test_node& first = *fleet.nodes[0];
    test_node& second = *fleet.nodes[1];
    auto answer =
        fleet.call(first, "PUT", put_target(0), make_note("a", "gelato"));
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(R"({"version":1})", answer.body.c_str());
    answer = fleet.call(second, "PUT", put_target(0), make_note("b", "sorbet"));
    LONGS_EQUAL(409, answer.status);
    CHECK(answer.body.find(R"("version":1)") != std::string::npos);
    CHECK(answer.body.find("added model gelato") != std::string::npos);
    answer = fleet.call(second, "PUT", put_target(0), make_note("a", "gelato"));
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL(R"({"version":1})", answer.body.c_str());
    answer = fleet.call(second, "PUT", put_target(1), R"({"note_id":"c",
        "added":[{"kind":"model","name":"x","version":"1","service":"no"}]})");
    LONGS_EQUAL(422, answer.status);
    CHECK(answer.body.find("/added/0/service") != std::string::npos);
    answer = fleet.call(second, "GET", "/v1/release");
    CHECK(answer.body.find(R"("name":"gelato")") != std::string::npos);
    LONGS_EQUAL(400, fleet.call(first, "PUT", "/v1/release", "{}").status);
}

// Nine nodes before a store that loses a quarter of all calls.
TEST(release, is_in_force_everywhere_within_13_s_with_a_failing_store)
{
    test_fleet fleet(9);
    fleet.store.request_loss_percent = 10;
    fleet.store.response_loss_percent = 15;
    std::int64_t in_force = 0;
    for (int round = 0; round < 6; ++round)
    {
        const std::string id = "note-" + std::to_string(round);
        test_node& node = *fleet.nodes[static_cast<std::size_t>(round)];
        // As the command line does: until there is an answer, the same note.
        const std::string note = make_note(id, "model-" + id);
        net::http_response answer;
        for (int attempt = 0; attempt < 20 && answer.status != 200; ++attempt)
        {
            answer = fleet.call(node, "PUT", put_target(in_force), note);
        }
        LONGS_EQUAL(200, answer.status);
        ++in_force;
        STRCMP_EQUAL(
            (R"({"version":)" + std::to_string(in_force) + "}").c_str(),
            answer.body.c_str());
        CHECK(fleet.run_until(
            in_force_limit,
            [&]
            {
                for (const auto& each : fleet.nodes)
                {
                    if (each->catalogue.current().version.count() < in_force)
                    {
                        return false;
                    }
                }
                return true;
            }));
    }
}

TEST(release, a_node_that_starts_in_an_outage_learns_it_from_peers)
{
    test_fleet fleet(3);
    fleet.store.put("instances/rota/rota-1",
                    R"({"host":"127.0.0.1","port":9,"state":"live"})");
    LONGS_EQUAL(200, fleet
                         .call(*fleet.nodes[0], "PUT", put_target(0),
                               make_note("a", "gelato"))
                         .status);
    CHECK(fleet.run_until(
        in_force_limit,
        [&] { return fleet.nodes[2]->fleet.replicas().size() == 1; }));
    fleet.store.unavailable = true;
    fleet.store.drop_watches();
    test_node& late = fleet.add_node();
    CHECK(fleet.run_until(in_force_limit,
                          [&late]
                          {
                              return late.catalogue.current().version.count() ==
                                         1 &&
                                     late.fleet.replicas().size() == 1;
                          }));
    const auto answer =
        fleet.call(late, "PUT", put_target(1), make_note("b", "sorbet"));
    LONGS_EQUAL(503, answer.status);
    CHECK(answer.body.find("store_unavailable") != std::string::npos);
}

TEST(release, a_word_of_leaving_reaches_all_nodes_before_the_list_has_it)
{
    test_fleet fleet(3);
    fleet.store.put("instances/rota/rota-1",
                    R"({"host":"127.0.0.1","port":9,"state":"live"})");
    const replica_id id("rota-1");
    const auto all = [&](replica_state state)
    {
        return [&fleet, &id, state]
        {
            for (const auto& node : fleet.nodes)
            {
                const replica_info* replica = node->fleet.find_replica(id);
                if (replica == nullptr || replica->state != state)
                {
                    return false;
                }
            }
            return true;
        };
    };
    CHECK(fleet.run_until(in_force_limit, all(replica_state::live)));
    fleet.nodes[1]->directory->report_leaving(id);
    CHECK(all(replica_state::leaving)());
    fleet.store.put("instances/rota/rota-1",
                    R"({"host":"127.0.0.1","port":9,"state":"leaving"})");
    fleet.store.erase("instances/rota/rota-1");
    CHECK(fleet.run_until(in_force_limit,
                          [&]
                          {
                              for (const auto& node : fleet.nodes)
                              {
                                  if (!node->fleet.replicas().empty())
                                  {
                                      return false;
                                  }
                              }
                              return true;
                          }));
}
