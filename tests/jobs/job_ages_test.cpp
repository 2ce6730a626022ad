#include "jobs/job_ages.hpp"
#include "jobs/job_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::jobs;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(job_ages)
{
    job_ages ages;
    job_id job{"job"};
    time_point start{hours(5)};

    void check_age(duration expected, time_point now)
    {
        LONGS_EQUAL(expected.count(),
                    this->ages.age_of(this->job, now).count());
    }
};

TEST(job_ages, an_unknown_job_has_no_age)
{
    this->check_age(duration::zero(), this->start);
}

TEST(job_ages, a_job_ages_by_the_steady_clock_from_its_submission)
{
    this->ages.observe(this->job, duration::zero(), this->start);
    this->check_age(seconds(7), this->start + seconds(7));
}

// A takeover by a process whose steady clock has another origin.
TEST(job_ages, the_age_in_the_record_outlives_the_process)
{
    this->ages.observe(this->job, duration::zero(), this->start);
    job_state state;
    state.id = this->job;
    state.age = this->ages.age_of(this->job, this->start + seconds(20));
    const auto read = decode_state(encode(state));
    CHECK(read.has_value());

    job_ages next_owner;
    const time_point other_start{seconds(1)};
    next_owner.observe(this->job, read.value().age, other_start);
    LONGS_EQUAL(seconds(23) / milliseconds(1),
                to_milliseconds(
                    next_owner.age_of(this->job, other_start + seconds(3))));
}

TEST(job_ages, an_older_record_does_not_make_a_job_younger)
{
    this->ages.observe(this->job, seconds(30), this->start);
    this->ages.observe(this->job, seconds(5), this->start + seconds(10));
    this->check_age(seconds(40), this->start + seconds(10));
}

TEST(job_ages, a_newer_record_makes_a_job_older)
{
    this->ages.observe(this->job, duration::zero(), this->start);
    this->ages.observe(this->job, seconds(30), this->start + seconds(1));
    this->check_age(seconds(31), this->start + seconds(2));
}

// The recorded age of a record without the field, from an earlier version.
TEST(job_ages, a_record_without_an_age_starts_at_zero)
{
    job_state state;
    state.id = this->job;
    const auto read = decode_state(encode(state));
    CHECK(read.has_value());
    LONGS_EQUAL(0, read.value().age.count());
}

TEST(job_ages, jobs_that_are_no_longer_observed_are_forgotten)
{
    this->ages.observe(this->job, duration::zero(), this->start);
    this->ages.observe(job_id("other"), duration::zero(),
                       this->start + seconds(50));
    this->ages.forget_before(this->start + seconds(40));
    LONGS_EQUAL(1, this->ages.size());
    this->check_age(duration::zero(), this->start + seconds(60));
}
