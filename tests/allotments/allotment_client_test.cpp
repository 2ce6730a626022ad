// Runs the clients of three nodes over loopback connections.

#include "allotments/allotment_client.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration max_wait = seconds(10);
constexpr std::size_t node_count = 3;

struct test_node
{
    test_node(net::event_loop& loop, int number)
        : peers(loop), random(static_cast<std::uint64_t>(number))
    {
        this->info.id = node_id("node-" + std::to_string(number));
        this->info.region = region_name("r");
        this->info.process = process_number(number + 1);
        this->info.incarnation = incarnation_number(number + 1);
        this->info.availability_zone = availability_zone_name("z");
        this->info.peer.host = "127.0.0.1";
        this->info.peer.port = this->peers.listen(this->info.peer).value();
        this->info.http = this->info.peer;
    }

    void join(net::event_loop& loop, const std::vector<endpoint>& seeds)
    {
        this->group = std::make_unique<peering::peer_group>(
            loop, this->peers, this->random, this->info, seeds);
        this->client = std::make_unique<allotment_client>(
            allotment_services{this->settings, loop, this->peers, *this->group,
                               this->metrics, this->random});
    }

    node_info info;
    settings::allotment_settings settings;
    metrics::registry metrics;
    wire::peer_network peers;
    random_source random;
    std::unique_ptr<peering::peer_group> group;
    std::unique_ptr<allotment_client> client;
};

} // namespace

TEST_GROUP(allotment_client)
{
    net::event_loop loop;
    std::array<std::unique_ptr<test_node>, node_count> nodes;
    std::vector<std::unique_ptr<allotment_claim>> claims;
    int granted = 0;
    int over_limit = 0;
    int unknown = 0;

    void setup() override
    {
        std::vector<endpoint> seeds;
        for (std::size_t number = 0; number < node_count; ++number)
        {
            this->nodes.at(number) = std::make_unique<test_node>(
                this->loop, static_cast<int>(number));
            seeds.push_back(this->nodes.at(number)->info.peer);
        }
        for (const auto& node : this->nodes)
        {
            node->join(this->loop, seeds);
        }
        this->run_until(
            [this]
            {
                bool is_joined = true;
                for (const auto& node : this->nodes)
                {
                    is_joined = is_joined &&
                                node->group->live_nodes().size() == node_count;
                }
                return is_joined;
            });
    }

    void teardown() override
    {
        this->claims.clear();
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const time_point limit = net::event_loop::now() + max_wait;
        while (!condition() && net::event_loop::now() < limit)
        {
            this->loop.run_for(milliseconds(20));
        }
        CHECK(condition());
    }

    int decided() const
    {
        return this->granted + this->over_limit + this->unknown;
    }

    /// Claims a request at a node.
    ///
    /// \returns Its position in claims.
    std::size_t claim(std::size_t node, const workspaces::allotment& limit)
    {
        this->claims.push_back(this->nodes.at(node)->client->claim(
            workspace_name("w"), limit, configuration_version(1),
            [this] { ++this->granted; },
            [this](const allotment_refusal& refusal)
            { ++(refusal.over_limit ? this->over_limit : this->unknown); }));
        return this->claims.size() - 1;
    }

    std::uint64_t count(const char* outcome) const
    {
        std::uint64_t sum = 0;
        for (const auto& node : this->nodes)
        {
            sum += node->metrics.counter_value(
                "parsleytrack_allotment_requests_total",
                {{"outcome", outcome}});
        }
        return sum;
    }
};

// Each node would otherwise grant the whole limit. At a rate of one request in
// 1000 s, only the 4 initial requests of the owner can be granted.
TEST(allotment_client, the_nodes_share_one_bucket)
{
    const workspaces::allotment limit{request_rate(0.001), 10.0};
    for (int round = 0; round < 10; ++round)
    {
        for (std::size_t node = 0; node < node_count; ++node)
        {
            const std::size_t position = this->claim(node, limit);
            this->run_until([this, position]
                            { return this->decided() > int(position); });
            this->claims.at(position)->use();
        }
    }
    CHECK(this->granted > 0);
    CHECK(this->granted <= 4);
    CHECK(this->over_limit > 0);
    this->run_until(
        [this]
        {
            return this->count("leased") + this->count("over_limit") +
                       this->count("unknown") ==
                   std::uint64_t(this->decided());
        });
    CHECK_EQUAL(this->granted, this->count("leased"));
    CHECK_EQUAL(this->over_limit, this->count("over_limit"));
    CHECK_EQUAL(this->unknown, this->count("unknown"));
}

// A claim that ends without a sent request must not use up the limit.
TEST(allotment_client, claims_that_are_not_used_are_returned)
{
    const workspaces::allotment limit{request_rate(0.001), 10.0};
    for (int round = 0; round < 60; ++round)
    {
        this->claim(round % node_count, limit);
        this->run_until([this, round] { return this->decided() > round; });
        this->claims.back().reset();
        // Leased requests are returned once they have expired.
        if (round % 3 == 2)
        {
            const time_point end = net::event_loop::now() + milliseconds(60);
            this->run_until([end] { return net::event_loop::now() >= end; });
        }
    }
    CHECK(this->granted > 4);
}

// Most workspaces may have no limit at all; they must not wait for an owner.
TEST(allotment_client, a_workspace_without_a_limit_is_granted_at_once)
{
    for (int count = 0; count < 100; ++count)
    {
        this->claim(0, workspaces::allotment{});
    }
    CHECK_EQUAL(100, this->granted);
}

// A call that ends after its claim must not call into a request that is gone.
TEST(allotment_client, a_destroyed_claim_gets_no_callback)
{
    const workspaces::allotment limit{request_rate(1000.0), 100.0};
    for (std::size_t node = 0; node < node_count; ++node)
    {
        this->claim(node, limit);
    }
    const int before = this->decided();
    this->claims.clear();
    const time_point end = net::event_loop::now() + milliseconds(300);
    this->run_until([end] { return net::event_loop::now() >= end; });
    CHECK_EQUAL(before, this->decided());
}

// A node that does not answer must not keep requests waiting.
TEST(allotment_client, claims_are_decided_while_nodes_do_not_answer)
{
    const workspaces::allotment limit{request_rate(10.0), 10.0};
    for (std::size_t node = 1; node < node_count; ++node)
    {
        this->nodes.at(node)->peers.on_call(
            wire::message_type::allotment_lease,
            [](const std::shared_ptr<wire::peer_exchange>&) {});
    }
    for (int number = 0; number < 30; ++number)
    {
        this->claims.push_back(this->nodes.at(0)->client->claim(
            workspace_name("w" + std::to_string(number)), limit,
            configuration_version(1), [this] { ++this->granted; },
            [this](const allotment_refusal& refusal)
            { ++(refusal.over_limit ? this->over_limit : this->unknown); }));
    }
    this->run_until([this] { return this->decided() == 30; });
    CHECK(this->unknown > 0);
    CHECK_EQUAL(0, this->over_limit);
}
