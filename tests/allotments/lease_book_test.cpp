#include "allotments/lease_book.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(lease_book)
{
    const time_point start{hours(5)};
    time_point now = this->start;
    /// With the defaults, a bucket starts with 4 requests and holds 4 more than
    /// the burst.
    settings::allotment_settings settings;
    random_source random{3};
    group_share share{this->start};
    lease_book book{allotment_numbers(this->settings), this->random};
    lease_order order;

    void setup() override
    {
        this->order.workspace = workspace_name("w");
        this->order.limit = {request_rate(10.0), 20.0};
        this->order.version = configuration_version(5);
    }

    lease_reply ask(int needed, int wanted = 0)
    {
        this->order.needed = needed;
        this->order.wanted = std::max(needed, wanted);
        const lease_reply reply =
            this->book.handle(this->order, this->start, this->share, this->now);
        this->order.returned = 0;
        this->order.sent_alone = 0;
        return reply;
    }
};

// The owner before may have granted the whole burst.
TEST(lease_book, a_new_owner_grants_only_the_initial_requests)
{
    CHECK_EQUAL(4, this->ask(100).granted);
    CHECK_EQUAL(0, this->ask(1).granted);
    this->now += milliseconds(500);
    CHECK_EQUAL(0, this->ask(1).granted);
    this->now += seconds(1);
    CHECK_EQUAL(10, this->ask(100).granted);
}

// Guards against a node that stalls again and again and grants the initial
// requests each time.
TEST(lease_book, ownerships_that_restart_do_not_add_up)
{
    CHECK_EQUAL(4, this->ask(100).granted);
    for (int restart = 1; restart <= 5; ++restart)
    {
        this->now += milliseconds(10);
        this->order.needed = 100;
        this->order.wanted = 100;
        CHECK_EQUAL(
            0, this->book.handle(this->order, this->now, this->share, this->now)
                   .granted);
    }
}

// An idle workspace would otherwise get 429 at its first burst after a start of
// all nodes, however long ago that was.
TEST(lease_book, a_bucket_has_filled_since_the_ownership_began)
{
    this->now += seconds(60);
    CHECK_EQUAL(24, this->ask(100).granted);
}

// One node that expects many requests must not take what others have.
TEST(lease_book, expected_requests_get_half_of_what_remains)
{
    this->now += seconds(60);
    CHECK_EQUAL(4 + 10, this->ask(4, 100).granted);
    CHECK_EQUAL(2 + 2, this->ask(2, 4).granted);
}

// Otherwise the rate would shrink by each lease that is not used.
TEST(lease_book, returned_requests_are_granted_again)
{
    this->now += seconds(60);
    this->order.term = this->ask(24).term;
    this->order.returned = 7;
    CHECK_EQUAL(7, this->ask(10).granted);
}

// A later bucket has never granted them.
TEST(lease_book, requests_of_an_earlier_bucket_are_not_taken_back)
{
    this->order.term = this->ask(4).term;
    this->now += seconds(1);
    this->order.needed = 0;
    this->order.wanted = 0;
    this->order.returned = 3;
    const lease_reply reply =
        this->book.handle(this->order, this->now, this->share, this->now);
    CHECK(reply.term != this->order.term);
    this->order.needed = 10;
    this->order.wanted = 10;
    this->order.returned = 3;
    CHECK_EQUAL(
        4, this->book.handle(this->order, this->now, this->share, this->now)
               .granted);
}

// A node that sends without the owner would otherwise add to the rate.
TEST(lease_book, requests_that_were_sent_alone_are_deducted)
{
    this->now += seconds(60);
    this->order.sent_alone = 20;
    CHECK_EQUAL(4, this->ask(100).granted);
}

// A node with an older configuration must not bring back the limit before.
TEST(lease_book, the_limit_of_the_newest_configuration_applies)
{
    this->now += seconds(60);
    this->ask(0);
    this->order.version = configuration_version(6);
    this->order.limit = {request_rate(1.0), 2.0};
    this->ask(0);
    this->order.version = configuration_version(5);
    this->order.limit = {request_rate(10.0), 20.0};
    CHECK_EQUAL(6, this->ask(100).granted);
    this->now += seconds(2);
    CHECK_EQUAL(2, this->ask(100).granted);
}

// A burst below one and a request every 100 s.
TEST(lease_book, a_tiny_limit_lets_a_request_through_now_and_then)
{
    this->order.limit = {request_rate(0.01), 0.0};
    CHECK_EQUAL(4, this->ask(10).granted);
    this->now += seconds(99);
    CHECK_EQUAL(0, this->ask(1).granted);
    this->now += seconds(2);
    CHECK_EQUAL(1, this->ask(1).granted);
}

// Refused callers would all return when the first of them can be served.
TEST(lease_book, states_when_the_bucket_has_refilled)
{
    this->now += seconds(60);
    const lease_reply first = this->ask(25);
    CHECK(first.refilled_in == milliseconds(100));
    CHECK(this->ask(1).refilled_in > milliseconds(150));
}

// Both parts of a cut group would otherwise spend the burst.
TEST(lease_book, a_part_of_a_group_uses_its_share)
{
    this->share.update(1, 2, this->start);
    this->now += seconds(60);
    CHECK_EQUAL(8, this->ask(100).granted);
    this->now += seconds(1);
    CHECK_EQUAL(3, this->ask(100).granted);
}

// The burst that was saved with the whole limit is too large for a part, and
// the lost nodes have sent some of the rate before their loss was noticed.
TEST(lease_book, a_loss_reduces_a_full_bucket)
{
    this->now += seconds(60);
    this->ask(0);
    this->share.update(1, 1, this->now);
    CHECK_EQUAL(12 - 8, this->ask(100).granted);
}

// Isolated nodes that each let one request through would exceed the limit of a
// small workspace together.
TEST(lease_book, a_tiny_part_of_a_group_grants_nothing_to_small_workspaces)
{
    this->share.update(1, 73, this->start);
    this->now += hours(1);
    CHECK_FALSE(this->ask(1).is_owner);
    this->order.workspace = workspace_name("large");
    this->order.limit = {request_rate(1000.0), 100.0};
    CHECK_EQUAL(1, this->ask(100).granted);
}

// Thousands of workspaces that are used once must not stay in memory, and must
// not get a second burst by being forgotten.
TEST(lease_book, drops_full_buckets_only)
{
    this->now += seconds(60);
    this->ask(24);
    this->order.workspace = workspace_name("slow");
    this->order.limit = {request_rate(0.001), 20.0};
    this->ask(4);
    this->now += seconds(61);
    this->book.drop_unused(this->share, this->now);
    CHECK_EQUAL(1, this->book.size());
    CHECK_EQUAL(0, this->ask(1).granted);
}
