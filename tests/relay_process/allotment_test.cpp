// The allotments of workspaces as callers and replicas see them. Limits are so
// low, and bursts so large, that the speed of the machine does not decide: a
// pause of a minute would not refill enough to exceed a bound.

#include "net/http_syntax.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

using nlohmann::json;

/// The window and the tolerances of the quotas, as nodes have them by default.
constexpr duration window = std::chrono::seconds(5);
constexpr double overage = 0.1;
constexpr double slack = 20.0;

struct limit
{
    double rate = 0.0;
    double burst = 0.0;

    /// \returns The most requests that may reach replicas in a window.
    double bound() const
    {
        const double seconds = std::chrono::duration<double>(window).count();
        return (this->rate * seconds + this->burst) * (1.0 + overage) + slack;
    }
};

constexpr limit low{0.2, 3.0};
constexpr limit lowest{0.2, 0.0};
constexpr limit high{100.0, 100.0};

json describe(const std::string& name, const limit& chosen)
{
    return {{"name", name},
            {"apiKeys", {"key-" + name}},
            {"ratePerS", chosen.rate},
            {"burst", chosen.burst}};
}

/// \param changing The limit of the workspace "changing".
std::string configuration(int version, const limit& changing)
{
    json document = json::parse(relay_fleet::configuration(version, "/plain/"));
    document["tenants"] = {describe("low", low),
                           describe("high", high),
                           describe("changing", changing),
                           {{"name", "free"}, {"apiKeys", {"key-free"}}}};
    return document.dump();
}

struct sent_request
{
    std::string id;
    std::shared_ptr<relay_fleet::response> response;
};

} // namespace

TEST_GROUP(relay_allotments)
{
    static constexpr int node_count = 2;
    /// Several times what any of the low limits allows.
    static constexpr int burst_size = 60;

    relay_fleet fleet{node_count};
    int next_id = 0;

    void setup() override
    {
        this->fleet.store.put("op/config", configuration(4, high));
        this->wait_in_force(4);
        CHECK(this->fleet.wait(
            [this] { return this->fleet.status(0)["nodes"].size() == 2; }));
        // A process that has just started grants nothing for up to 1 s.
        this->fleet.run_for(std::chrono::seconds(2));
    }

    /// Waits until all nodes have a version of the configuration.
    void wait_in_force(int version)
    {
        for (int node = 0; node < node_count; ++node)
        {
            this->fleet.wait_ready(node);
            CHECK(this->fleet.wait(
                [this, node, version] {
                    return this->fleet.status(
                               node)["configuration"]["version"] == version;
                }));
        }
    }

    /// Starts a request of a workspace.
    sent_request start(const std::string& workspace, int node)
    {
        this->fleet.caller_headers = {
            {"Authorization", "Token key-" + workspace}};
        sent_request sent{workspace + "-" + std::to_string(this->next_id++),
                          std::make_shared<relay_fleet::response>()};
        this->fleet.start_call(node, "POST", "/plain/x", sent.id, "b",
                               sent.response);
        return sent;
    }

    /// Sends requests of a workspace through all nodes at once and waits for
    /// the responses.
    std::vector<sent_request> send_burst(const std::string& workspace)
    {
        std::vector<sent_request> sent;
        for (int number = 0; number < burst_size * node_count; ++number)
        {
            sent.push_back(this->start(workspace, number % node_count));
        }
        CHECK(this->fleet.wait(
            [&sent]
            {
                return std::all_of(sent.begin(), sent.end(),
                                   [](const sent_request& request)
                                   { return request.response->status >= 0; });
            }));
        return sent;
    }

    int send_one(const std::string& workspace, int node)
    {
        const sent_request sent = this->start(workspace, node);
        CHECK(this->fleet.wait([&sent] { return sent.response->status >= 0; }));
        return sent.response->status;
    }

    /// \returns When the requests of a workspace have reached the replica, in
    /// order.
    std::vector<time_point> arrivals_of(const std::string& workspace) const
    {
        std::vector<time_point> times;
        for (const auto& [id, received] : this->fleet.web->received_deadlines)
        {
            if (id.starts_with(workspace + "-"))
            {
                times.push_back(received.second);
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// Checks each window that begins with an arrival after a time.
    void check_bound(const std::string& workspace, const limit& allowed,
                     time_point since = time_point::min()) const
    {
        const std::vector<time_point> times = this->arrivals_of(workspace);
        for (auto first = times.begin(); first != times.end(); ++first)
        {
            if (*first < since)
            {
                continue;
            }
            const auto last =
                std::lower_bound(first, times.end(), *first + window);
            CHECK(static_cast<double>(last - first) <= allowed.bound());
        }
    }

    /// Checks that a request was either served or refused without a run.
    ///
    /// \returns Whether it was refused as one over the limit.
    bool check_outcome(const sent_request& sent) const
    {
        const int status = sent.response->status;
        const bool has_run = this->fleet.web->runs.contains(sent.id);
        if (status == 200)
        {
            CHECK(has_run);
            return false;
        }
        // A slow machine may give 503, if the owner of the workspace has not
        // answered in time, and 502 or 504, which guarantee nothing.
        if (status != 429 && status != 503)
        {
            return false;
        }
        CHECK_FALSE(has_run);
        const std::string* retry_after =
            net::find_header(sent.response->headers, "Retry-After");
        CHECK(retry_after != nullptr);
        CHECK(std::strtod(retry_after->c_str(), nullptr) > 0.0);
        return status == 429;
    }
};

// Guards against limits that are not applied to what reaches replicas, and
// against refusals that callers cannot repeat safely. The tolerances exceed two
// buckets of this size, so that nodes which each grant the whole limit are left
// to the model test.
TEST(relay_allotments, a_burst_through_all_nodes_stays_within_the_limit)
{
    int over_limit = 0;
    for (int round = 0; round < 2; ++round)
    {
        for (const sent_request& sent : this->send_burst("low"))
        {
            over_limit += this->check_outcome(sent) ? 1 : 0;
        }
    }
    this->check_bound("low", low);
    CHECK(!this->arrivals_of("low").empty());
    CHECK(over_limit > 0);
    // Both nodes know that the limit is used up, not only the owner.
    for (int node = 0; node < node_count; ++node)
    {
        CHECK(this->fleet.wait([this, node]
                               { return this->send_one("low", node) == 429; }));
    }
}

// Guards against a busy workspace that takes what belongs to others.
TEST(relay_allotments, other_workspaces_are_not_affected)
{
    this->send_burst("low");
    CHECK(this->fleet.wait([this] { return this->send_one("low", 0) == 429; }));
    for (int number = 0; number < 20; ++number)
    {
        // Any status but 429 may come from a slow machine.
        CHECK(this->fleet.wait(
            [this, number]
            {
                const int status = this->send_one("high", number % node_count);
                CHECK(status != 429);
                return status == 200;
            }));
    }
}

// Guards against limits that hold for workspaces which have none.
TEST(relay_allotments, a_workspace_without_a_limit_is_not_refused_by_one)
{
    int served = 0;
    for (int round = 0; round < 2; ++round)
    {
        for (const sent_request& sent : this->send_burst("free"))
        {
            CHECK(sent.response->status != 429);
            served += sent.response->status == 200 ? 1 : 0;
        }
    }
    CHECK(served > 0);
    // The burst exceeds the replica's slots, which refuses most of it with 503;
    // one request at a time is always served in the end.
    for (int number = 0; number < burst_size; ++number)
    {
        CHECK(this->fleet.wait(
            [this, number]
            {
                const int status = this->send_one("free", number % node_count);
                CHECK(status != 429);
                return status == 200;
            }));
    }
    for (int node = 0; node < node_count; ++node)
    {
        const std::string metrics = this->fleet.metrics_text(node);
        for (const char* outcome : {"over_limit", "unknown"})
        {
            const std::string series =
                "parsleytrack_allotment_requests_total{outcome=\"" +
                std::string(outcome) + "\"}";
            const auto position = metrics.find(series + " ");
            CHECK(position == std::string::npos ||
                  metrics.compare(position + series.size(), 2, " 0") == 0);
        }
    }
}

// Guards against an owner that goes on with the old limit, or with what its
// bucket held under it.
TEST(relay_allotments, a_lowered_limit_binds_within_one_window)
{
    CHECK(this->fleet.wait(
        [this]
        {
            this->send_burst("changing");
            return static_cast<double>(this->arrivals_of("changing").size()) >
                   2 * lowest.bound();
        }));
    this->fleet.store.put("op/config", configuration(5, lowest));
    this->wait_in_force(5);
    const time_point bound_since = net::event_loop::now() + window;
    while (net::event_loop::now() < bound_since)
    {
        this->send_burst("changing");
        this->fleet.run_for(std::chrono::milliseconds(500));
    }
    for (int round = 0; round < 2; ++round)
    {
        for (const sent_request& sent : this->send_burst("changing"))
        {
            this->check_outcome(sent);
        }
    }
    this->check_bound("changing", lowest, bound_since);
    CHECK(this->fleet.wait([this]
                           { return this->send_one("changing", 0) == 429; }));
}
