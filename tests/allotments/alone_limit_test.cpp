#include "allotments/alone_limit.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(alone_limit)
{
    const time_point start{hours(5)};
    const node_id owner{"owner"};
    random_source random{11};

    /// \returns What nodes send together in an outage of the given time, each
    /// with far more requests.
    int sent_by_all(std::size_t nodes, double rate, seconds span)
    {
        int sent = 0;
        for (std::size_t node = 0; node < nodes; ++node)
        {
            alone_limit limit;
            limit.start(this->owner, process_number(1), this->start,
                        this->random);
            for (duration past = duration::zero(); past < span;
                 past += milliseconds(10))
            {
                sent += limit.take(rate, nodes, this->start + past) ? 1 : 0;
            }
        }
        return sent;
    }
};

// Each node's part is below one request. Rounded up, 74 nodes would send 74;
// rounded down, none.
TEST(alone_limit, all_nodes_together_send_about_the_rate)
{
    const int sent = this->sent_by_all(74, 20.0, seconds(2));
    CHECK(sent >= 20);
    CHECK(sent <= 40);
}

// An owner that only this node cannot reach goes on to grant the rate.
TEST(alone_limit, ends_after_two_seconds)
{
    alone_limit limit;
    limit.start(this->owner, process_number(1), this->start, this->random);
    CHECK(limit.take(1000.0, 2, this->start + milliseconds(1900)));
    CHECK_FALSE(limit.take(1000.0, 2, this->start + seconds(2)));
}

// Each failed call of the same outage would otherwise start it anew.
TEST(alone_limit, the_same_outage_is_not_started_again)
{
    alone_limit limit;
    int sent = 0;
    for (int call = 0; call < 100; ++call)
    {
        limit.start(this->owner, process_number(1), this->start, this->random);
        sent += limit.take(1.0, 1, this->start) ? 1 : 0;
    }
    CHECK_EQUAL(0, sent);
}

// The owner that comes back has to deduct them, another one must not.
TEST(alone_limit, reports_to_the_owner_whose_rate_was_used)
{
    alone_limit limit;
    limit.start(this->owner, process_number(1), this->start, this->random);
    CHECK(limit.take(100.0, 1, this->start + seconds(1)));
    CHECK_EQUAL(1, limit.unreported(this->owner, process_number(1)));
    CHECK_EQUAL(0, limit.unreported(this->owner, process_number(2)));
    CHECK_EQUAL(0, limit.unreported(node_id("other"), process_number(1)));
    limit.report(this->owner, process_number(1), 1);
    CHECK_EQUAL(0, limit.unreported(this->owner, process_number(1)));
}

// Guards against a negative count, which the owner refuses to read: the reply
// of an owner came after an outage of the next one had begun.
TEST(alone_limit, a_late_reply_of_another_owner_changes_nothing)
{
    alone_limit limit;
    limit.start(this->owner, process_number(1), this->start, this->random);
    CHECK(limit.take(100.0, 1, this->start + seconds(1)));
    limit.report(node_id("other"), process_number(1), 3);
    limit.report(this->owner, process_number(2), 3);
    CHECK_EQUAL(1, limit.unreported(this->owner, process_number(1)));
    limit.report(this->owner, process_number(1), 3);
    CHECK_EQUAL(0, limit.unreported(this->owner, process_number(1)));
}
