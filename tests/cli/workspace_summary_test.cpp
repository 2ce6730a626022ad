#include "cli/workspace_summary.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace parsleytrack::cli;
using nlohmann::json;

namespace
{

/// \returns An entry of a node's status document.
json entry(const std::string& name, double rate, unsigned granted,
           unsigned refused)
{
    return {{"name", name},       {"rate", rate}, {"burst", 2.0},
            {"priority", json()}, {"keys", 1U},   {"granted", granted},
            {"refused", refused}};
}

/// \returns A node's status document.
json status(unsigned version, const json& entries, unsigned granted,
            unsigned refused)
{
    return {
        {"node", "n"},
        {"configuration", {{"version", version}}},
        {"workspaces", entries},
        {"workspace_totals",
         {{"window_ms", 5000U}, {"granted", granted}, {"refused", refused}}}};
}

} // namespace

TEST_GROUP(workspace_summary){};

TEST(workspace_summary, requests_are_summed_over_the_nodes)
{
    const json summary = summarize_workspaces(
        {status(3, {entry("a", 1.0, 2, 1), entry("b", 0.0, 9, 0)}, 11, 1),
         status(3, json::array({entry("a", 1.0, 4, 30)}), 4, 30)});
    CHECK_EQUAL(2, summary["nodes"].get<int>());
    CHECK_EQUAL(5000, summary["window_ms"].get<int>());
    CHECK_EQUAL(2, summary["workspaces"].size());
    const json& first = summary["workspaces"][0];
    CHECK(first["name"] == "a");
    CHECK_EQUAL(6, first["granted"].get<int>());
    CHECK_EQUAL(31, first["refused"].get<int>());
    CHECK_EQUAL(2, first["nodes"].get<int>());
    const json& second = summary["workspaces"][1];
    CHECK(second["name"] == "b");
    CHECK_EQUAL(9, second["granted"].get<int>());
    CHECK_EQUAL(1, second["nodes"].get<int>());
    CHECK_EQUAL(0, summary["others"]["granted"].get<int>());
    CHECK_EQUAL(0, summary["others"]["refused"].get<int>());
}

// Guards against sums that silently omit what nodes count for workspaces
// outside their lists.
TEST(workspace_summary, requests_of_workspaces_that_are_not_listed_are_summed)
{
    const json summary = summarize_workspaces(
        {status(3, json::array({entry("a", 1.0, 5, 1)}), 8, 1),
         status(3, json::array(), 2, 4)});
    CHECK_EQUAL(5, summary["others"]["granted"].get<int>());
    CHECK_EQUAL(4, summary["others"]["refused"].get<int>());
}

// Guards against a limit that has been replaced being shown because the node
// that still has it comes last.
TEST(workspace_summary, the_limit_is_that_of_the_newest_configuration)
{
    const json summary = summarize_workspaces(
        {status(4, json::array({entry("a", 7.0, 0, 0)}), 0, 0),
         status(3, json::array({entry("a", 1.0, 0, 0)}), 0, 0)});
    DOUBLES_EQUAL(7.0, summary["workspaces"][0]["rate"].get<double>(), 1e-9);
}

// Guards against a command that ends with an exception at a silent node, a node
// of an earlier build, or fields of other types.
TEST(workspace_summary, nodes_without_a_report_are_counted)
{
    json odd = status(3, json::array({entry("a", 1.0, 1, 0)}), 1, 0);
    odd["workspaces"].push_back(7);
    odd["workspaces"].push_back({{"name", 7}});
    odd["workspaces"][0]["refused"] = "many";
    odd["workspace_totals"] = 3;
    odd["configuration"] = "none";
    const json summary = summarize_workspaces(
        {{{"node", "n1"}, {"silent", true}}, {{"node", "n2"}}, 5, odd});
    CHECK_EQUAL(3, summary["nodes_without_report"].get<int>());
    CHECK_EQUAL(1, summary["nodes"].get<int>());
    CHECK_EQUAL(1, summary["workspaces"].size());
    CHECK_EQUAL(1, summary["workspaces"][0]["granted"].get<int>());
}

TEST(workspace_summary, no_nodes_give_an_empty_summary)
{
    const json summary = summarize_workspaces(json::array());
    CHECK(summary["workspaces"].is_array());
    CHECK(summary["workspaces"].empty());
}
