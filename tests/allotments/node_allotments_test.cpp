#include "allotments/node_allotments.hpp"

#include <CppUTest/TestHarness.h>

#include <variant>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

node_info make_node(const char* id, std::uint16_t port)
{
    node_info node;
    node.id = node_id(id);
    node.process = process_number(port);
    node.peer = endpoint{"127.0.0.1", port};
    return node;
}

} // namespace

/// Two nodes: "here", which is tested, and "there".
TEST_GROUP(node_allotments)
{
    time_point now{hours(5)};
    settings::allotment_settings settings;
    random_source random{5};
    const node_info here = make_node("here", 1);
    const node_info there = make_node("there", 2);
    const workspaces::allotment limit{request_rate(100.0), 50.0};
    node_allotments node{this->here.id, this->settings, this->random,
                         this->now};
    workspace_name own_workspace;
    workspace_name other_workspace;
    std::int64_t claims = 0;
    std::vector<claim_number> granted;
    std::vector<allotment_refusal> refused;
    std::vector<send_command> sent;

    void setup() override
    {
        this->node.update_view({this->here, this->there}, 0, this->now);
        workspace_owners owners(this->here.id);
        owners.update({this->here, this->there}, this->now);
        for (int number = 0; number < 64; ++number)
        {
            const workspace_name name("w" + std::to_string(number));
            const bool is_own = owners.owner_of(name)->node.id == this->here.id;
            (is_own ? this->own_workspace : this->other_workspace) = name;
        }
    }

    claim_number claim(const workspace_name& workspace)
    {
        const claim_number number(++this->claims);
        this->node.claim(number, workspace, this->limit,
                         configuration_version(1), this->now);
        this->run_commands();
        return number;
    }

    void run_commands()
    {
        for (const allotment_command& command : this->node.take_commands())
        {
            if (const auto* grant = std::get_if<grant_command>(&command))
            {
                this->granted.push_back(grant->claim);
            }
            if (const auto* refusal = std::get_if<refuse_command>(&command))
            {
                this->refused.push_back(refusal->refusal);
            }
            if (const auto* send = std::get_if<send_command>(&command))
            {
                this->sent.push_back(*send);
            }
        }
    }

    void reply(int count, duration refilled_in = duration::zero())
    {
        this->node.handle_reply(
            this->sent.back().call,
            lease_reply{true, count, bucket_term(7), refilled_in}, this->now);
        this->run_commands();
    }

    void fail_call()
    {
        this->node.handle_failure(this->sent.back().call, this->now);
        this->run_commands();
    }

    /// Passes time as a process does that is not paused.
    void pass(duration span)
    {
        for (const time_point end = this->now + span; this->now < end;)
        {
            this->now += milliseconds(100);
            this->node.tick(this->now);
            this->run_commands();
        }
    }
};

// A request of a workspace whose owner is this node needs no call.
TEST(node_allotments, serves_its_own_workspaces_at_once)
{
    this->claim(this->own_workspace);
    CHECK_EQUAL(1, this->granted.size());
    CHECK(this->sent.empty());
}

// Only the owner knows what all nodes have sent.
TEST(node_allotments, asks_the_owner_of_other_workspaces)
{
    const claim_number number = this->claim(this->other_workspace);
    CHECK(this->granted.empty());
    CHECK_EQUAL(this->there.peer.port, this->sent.back().owner.port);
    CHECK_EQUAL(1, this->sent.back().order.needed);
    this->reply(1);
    CHECK(this->granted.back() == number);
}

// Each request would otherwise make a call of its own in a surge.
TEST(node_allotments, claims_that_come_during_a_call_share_the_next_one)
{
    this->claim(this->other_workspace);
    this->claim(this->other_workspace);
    this->claim(this->other_workspace);
    CHECK_EQUAL(1, this->sent.size());
    this->reply(1);
    CHECK_EQUAL(2, this->sent.size());
    CHECK_EQUAL(2, this->sent.back().order.needed);
    CHECK(this->sent.back().order.wanted > 2);
}

// 429 is for callers of a workspace that has spent its limit, with the time
// after which the bucket has refilled.
TEST(node_allotments, refuses_with_429_only_if_the_owner_says_so)
{
    this->claim(this->other_workspace);
    this->reply(0, milliseconds(400));
    CHECK(this->refused.back().over_limit);
    CHECK(this->refused.back().retry_after >= milliseconds(400));
    CHECK(this->refused.back().retry_after <= milliseconds(600));
    this->claim(this->other_workspace);
    CHECK_EQUAL(1, this->sent.size());
    CHECK(this->refused.back().over_limit);
    this->now += milliseconds(200);
    this->claim(this->other_workspace);
    CHECK_EQUAL(2, this->sent.size());
}

// Each refused request of a surge would otherwise be a call to the owner, a
// hundred per second and node; and a raised limit must not wait.
TEST(node_allotments, asks_an_empty_bucket_a_few_times_per_second)
{
    for (int count = 0; count < 100; ++count)
    {
        this->now += milliseconds(10);
        const std::size_t before = this->sent.size();
        this->claim(this->other_workspace);
        if (this->sent.size() > before)
        {
            this->reply(0, milliseconds(10));
        }
    }
    CHECK(this->sent.size() >= 5);
    CHECK(this->sent.size() <= 10);
    const std::size_t before = this->sent.size();
    this->claim(this->other_workspace);
    CHECK_EQUAL(before, this->sent.size());
    this->node.claim(claim_number(1000), this->other_workspace,
                     {request_rate(200.0), 50.0}, configuration_version(2),
                     this->now);
    this->run_commands();
    CHECK_EQUAL(before + 1, this->sent.size());
}

// Callers have to try another node where this one does not know.
TEST(node_allotments, refuses_with_503_while_the_owner_is_silent)
{
    this->claim(this->other_workspace);
    this->fail_call();
    int refusals = 0;
    for (int round = 0; round < 25; ++round)
    {
        this->pass(milliseconds(100));
        this->claim(this->other_workspace);
    }
    for (const allotment_refusal& refusal : this->refused)
    {
        CHECK_FALSE(refusal.over_limit);
        ++refusals;
    }
    CHECK(refusals > 0);
    // This node's part of the rate, for 2 s, was more than the requests.
    CHECK(this->granted.size() >= 18);
    CHECK(this->granted.size() <= 21);
}

// The owner would otherwise grant what was already sent.
TEST(node_allotments, reports_what_it_has_sent_alone)
{
    this->claim(this->other_workspace);
    this->fail_call();
    this->pass(milliseconds(200));
    this->claim(this->other_workspace);
    this->claim(this->other_workspace);
    const auto alone = static_cast<int>(this->granted.size());
    CHECK(alone > 0);
    this->fail_call();
    this->pass(milliseconds(300));
    CHECK_EQUAL(alone, this->sent.back().order.sent_alone);
    this->reply(0);
    this->claim(this->other_workspace);
    CHECK_EQUAL(0, this->sent.back().order.sent_alone);
}

// A process that is not told of its pause would use leases of the time before,
// and a bucket that another node has spent since.
TEST(node_allotments, a_pause_ends_leases_and_empties_its_buckets)
{
    this->pass(seconds(20));
    for (int count = 0; count < 30; ++count)
    {
        this->claim(this->own_workspace);
    }
    CHECK_EQUAL(30, this->granted.size());
    this->claim(this->other_workspace);
    this->reply(10);
    this->now += milliseconds(800);
    this->granted.clear();
    for (int count = 0; count < 30; ++count)
    {
        this->claim(this->own_workspace);
    }
    CHECK_EQUAL(4, this->granted.size());
    this->claim(this->other_workspace);
    CHECK_EQUAL(4, this->granted.size());
    CHECK_EQUAL(0, this->sent.back().order.returned);
}

// Leases that are not used would be lost for the other nodes.
TEST(node_allotments, returns_what_was_not_used)
{
    this->claim(this->other_workspace);
    this->reply(5);
    this->pass(seconds(1));
    CHECK_EQUAL(4, this->sent.back().order.returned);
    CHECK_EQUAL(0, this->sent.back().order.needed);
    CHECK(this->sent.back().order.term == bucket_term(7));
}

// A request that is cancelled while it waits for a slot was never sent.
TEST(node_allotments, a_claim_that_was_not_used_is_given_to_the_next)
{
    const claim_number number = this->claim(this->other_workspace);
    this->reply(1);
    this->node.end(number, false, this->now);
    this->claim(this->other_workspace);
    CHECK_EQUAL(2, this->granted.size());
    const claim_number waiting = this->claim(this->other_workspace);
    this->node.end(waiting, false, this->now);
    this->reply(1);
    CHECK_EQUAL(2, this->granted.size());
}

// A process that has just started and sees nobody takes itself for the owner of
// all workspaces; so do all others after a start of all nodes.
TEST(node_allotments, grants_nothing_until_it_has_joined)
{
    node_allotments started(this->here.id, this->settings, this->random,
                            this->now);
    started.update_view({this->here}, 3, this->now);
    lease_order order;
    order.workspace = this->own_workspace;
    order.limit = this->limit;
    order.needed = 1;
    order.wanted = 1;
    CHECK_FALSE(started.handle_order(order, this->now).is_owner);
    started.update_view({this->here, this->there}, 0, this->now);
    CHECK(started.handle_order(order, this->now).is_owner);
}

// A node of the build before would be asked for ever during an upgrade.
TEST(node_allotments, an_owner_of_an_earlier_build_is_replaced)
{
    this->claim(this->other_workspace);
    this->node.handle_unsupported(this->sent.back().call, this->now);
    this->run_commands();
    CHECK_FALSE(this->refused.back().over_limit);
    this->claim(this->other_workspace);
    CHECK_EQUAL(1, this->granted.size());
}

// The next node does not know yet that the owner runs an earlier build.
TEST(node_allotments, asks_an_unconfirmed_owner_before_it_denies_for_good)
{
    lease_order order;
    order.workspace = this->other_workspace;
    order.limit = this->limit;
    CHECK_FALSE(this->node.handle_order(order, this->now).is_owner);
    this->run_commands();
    CHECK_EQUAL(0, this->sent.back().order.needed);
    this->node.handle_unsupported(this->sent.back().call, this->now);
    CHECK(this->node.handle_order(order, this->now).is_owner);
}

// A node that leaves must not grant beside its successor.
TEST(node_allotments, a_leaving_node_owns_nothing)
{
    this->node.update_view({this->there}, 0, this->now);
    this->claim(this->own_workspace);
    CHECK_EQUAL(this->there.peer.port, this->sent.back().owner.port);
}
