#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <strings.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

using nlohmann::json;

const json first_workspace = {
    {"name", "north"}, {"apiKeys", {"key-n1", "key-n2"}}, {"priority", 1}};
const json second_workspace = {{"name", "south"}, {"apiKeys", {"key-s1"}}};

/// \returns A configuration with workspaces.
std::string configuration(int version, const json& workspaces)
{
    json document = json::parse(relay_fleet::configuration(version, "/plain/"));
    document["tenants"] = workspaces;
    return document.dump();
}

/// \returns The values of a header field that a replica has received.
std::vector<std::string> values_of(const net::http_header_list& headers,
                                   const std::string& name)
{
    std::vector<std::string> values;
    for (const auto& field : headers)
    {
        if (strcasecmp(field.first.c_str(), name.c_str()) == 0)
        {
            values.push_back(field.second);
        }
    }
    return values;
}

} // namespace

TEST_GROUP(relay_workspaces)
{
    relay_fleet fleet{2};

    void setup() override
    {
        this->fleet.store.put(
            "op/config", configuration(4, {first_workspace, second_workspace}));
        this->fleet.wait_ready(0);
        this->fleet.wait_ready(1);
        this->fleet.run_for(std::chrono::seconds(1));
    }

    int status_with(const net::http_header_list& headers,
                    const std::string& id = "r", int node = 0)
    {
        this->fleet.caller_headers = headers;
        return this->fleet.call(node, "POST", "/plain/x", id, "b").status;
    }

    void use_key(const std::string& key)
    {
        this->fleet.caller_headers = {{"Authorization", "Token " + key}};
    }
};

// Guards against requests that run without a key of a workspace.
TEST(relay_workspaces, unknown_and_missing_keys_are_denied)
{
    CHECK_EQUAL(401, this->status_with({}));
    CHECK_EQUAL(401, this->status_with({{"Authorization", "Token other"}}));
    CHECK_EQUAL(401, this->status_with({{"Authorization", "Token key-n1"},
                                        {"authorization", "Token key-s1"}}));
    CHECK_EQUAL(0, this->fleet.web->run_count);
    CHECK_EQUAL(200, this->status_with({{"authorization", "token  key-n1"}}));
}

// Guards against a replica that sees a key, or a workspace that the caller has
// chosen.
TEST(relay_workspaces, replicas_get_the_workspace_and_no_key)
{
    CHECK_EQUAL(200, this->status_with({{"Authorization", "Token key-s1"},
                                        {"Parsleytrack-Tenant", "north"},
                                        {"PARSLEYTRACK-TENANT", "x"}},
                                       "request-1"));
    const auto& headers = this->fleet.web->received_headers.at("request-1");
    CHECK(values_of(headers, "Authorization").empty());
    const auto names = values_of(headers, "Parsleytrack-Tenant");
    CHECK_EQUAL(1, names.size());
    STRCMP_EQUAL("south", names.front().c_str());
}

// Guards against items that run for another workspace than the job's.
TEST(relay_workspaces, items_carry_the_workspace_of_their_job)
{
    this->use_key("key-n1");
    this->fleet.item_headers = {{"authorization", "Token key-n1"},
                                {"Parsleytrack-Tenant", "south"}};
    CHECK_EQUAL(202, this->fleet.submit(0, "job", 6).status);
    CHECK_EQUAL(6, this->fleet.results(0, "job").size());
    int seen = 0;
    for (const auto& engine : this->fleet.engines)
    {
        for (const auto& [id, headers] : engine->received_headers)
        {
            ++seen;
            CHECK(values_of(headers, "Authorization").empty());
            CHECK(values_of(headers, "Parsleytrack-Tenant") ==
                  std::vector<std::string>{"north"});
        }
    }
    CHECK_EQUAL(6, seen);
}

// Guards against jobs without a workspace, whose ids callers could choose so
// that they are those of another workspace's jobs.
TEST(relay_workspaces, a_public_route_needs_a_key_for_jobs_alone)
{
    json document =
        json::parse(configuration(5, {first_workspace, second_workspace}));
    for (json& route : document["routes"])
    {
        route["public"] = true;
    }
    this->fleet.store.put("op/config", document.dump());
    CHECK(this->fleet.wait([this] { return this->status_with({}) == 200; }));
    CHECK_EQUAL(200, this->status_with({{"Authorization", "Token other"}},
                                       "request-2"));
    const auto& headers = this->fleet.web->received_headers.at("request-2");
    CHECK(values_of(headers, "Authorization").empty());
    CHECK(values_of(headers, "Parsleytrack-Tenant").empty());
    this->fleet.caller_headers.clear();
    CHECK_EQUAL(401, this->fleet.submit(0, "job", 2).status);
}

// Guards against callers who learn of jobs of other workspaces.
TEST(relay_workspaces, jobs_exist_for_their_workspace_alone)
{
    this->use_key("key-n1");
    CHECK_EQUAL(202, this->fleet.submit(0, "job", 2).status);
    this->use_key("key-s1");
    for (int node : {0, 1})
    {
        CHECK_EQUAL(404, this->fleet.call(node, "GET", "/v1/lots/job").status);
        CHECK_EQUAL(404,
                    this->fleet.call(node, "DELETE", "/v1/lots/job").status);
    }
    this->fleet.caller_headers.clear();
    CHECK_EQUAL(401, this->fleet.call(0, "GET", "/v1/lots/job").status);
    this->use_key("key-s1");
    CHECK_EQUAL(202, this->fleet.submit(1, "job", 3).status);
    CHECK_EQUAL(3, this->fleet.results(0, "job").size());
    // Each key of the workspace gives access.
    this->use_key("key-n2");
    CHECK_EQUAL(2, this->fleet.results(1, "job").size());
    CHECK_EQUAL(200, this->fleet.call(1, "DELETE", "/v1/lots/job").status);
}

// Guards against keys that work on after operators have taken them away, and
// against jobs that are lost with their keys.
TEST(relay_workspaces, a_key_that_is_taken_away_is_denied_and_ends_no_job)
{
    this->use_key("key-n1");
    CHECK_EQUAL(202, this->fleet.submit(0, "job", 2).status);
    json changed = first_workspace;
    changed["apiKeys"] = {"key-n2", "key-n3"};
    this->fleet.store.put("op/config",
                          configuration(5, {changed, second_workspace}));
    for (int node : {0, 1})
    {
        CHECK(this->fleet.wait(
            [this, node]
            {
                return this->status_with({{"Authorization", "Token key-n1"}},
                                         "gone", node) == 401;
            }));
        CHECK_EQUAL(200, this->status_with({{"Authorization", "Token key-n3"}},
                                           "new", node));
    }
    this->use_key("key-n2");
    CHECK_EQUAL(2, this->fleet.results(1, "job").size());
}

// Guards against keys on the pages that operators read.
TEST(relay_workspaces, operators_pages_name_no_key)
{
    CHECK_EQUAL(200, this->status_with({{"Authorization", "Token key-n1"}}));
    CHECK(this->fleet.metrics_text(0).find("key-n1") == std::string::npos);
    CHECK(this->fleet.status(0).dump().find("key-n1") == std::string::npos);
}
