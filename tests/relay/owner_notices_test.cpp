#include "relay/owner_notices.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration scan_interval = seconds(2);

} // namespace

TEST_GROUP(owner_notices)
{
    owner_notices notices;
    jobs::job_state state;
    time_point start{seconds(100)};

    void setup() override
    {
        this->state.id = job_id("job");
        this->state.item_count = 3;
    }

    bool is_due(std::int64_t revision, duration after)
    {
        return this->notices.is_due(this->state, store_revision(revision),
                                    this->start + after);
    }
};

// Acceptance hands a job over by a message, which may be lost.
TEST(owner_notices, the_owner_of_a_job_that_does_not_change_is_notified)
{
    CHECK_FALSE(this->is_due(5, duration::zero()));
    CHECK(this->is_due(5, scan_interval));
    CHECK_FALSE(this->is_due(5, scan_interval * 2));
}

TEST(owner_notices, a_lost_notice_is_repeated)
{
    int count = 0;
    for (duration after = duration::zero(); after < seconds(20);
         after += scan_interval)
    {
        count += this->is_due(5, after) ? 1 : 0;
    }
    LONGS_EQUAL(3, count);
}

TEST(owner_notices, an_owner_that_commits_is_left_alone)
{
    for (std::int64_t revision = 1; revision < 20; ++revision)
    {
        CHECK_FALSE(this->is_due(revision, scan_interval * revision));
    }
}

// Items must not reach a replica long after the job was cancelled.
TEST(owner_notices, the_owner_is_notified_of_a_cancellation_at_once)
{
    CHECK_FALSE(this->is_due(5, duration::zero()));
    this->state.cancelled = true;
    CHECK(this->is_due(6, milliseconds(300)));
    // The first notice may be lost, or come while the owner loads the job.
    CHECK(this->is_due(6, milliseconds(300) + scan_interval));
}

TEST(owner_notices, notices_of_a_cancellation_end)
{
    this->state.cancelled = true;
    CHECK(this->is_due(6, duration::zero()));
    CHECK_FALSE(this->is_due(6, seconds(60)));
}

TEST(owner_notices, the_owner_of_a_finished_job_is_left_alone)
{
    this->state.outcomes.resize(this->state.item_count);
    CHECK_FALSE(this->is_due(5, duration::zero()));
    CHECK_FALSE(this->is_due(5, seconds(60)));
}

TEST(owner_notices, a_forgotten_job_is_seen_as_new)
{
    CHECK_FALSE(this->is_due(5, duration::zero()));
    this->notices.forget_before(this->start + seconds(1));
    CHECK_FALSE(this->is_due(5, seconds(2)));
}
