#include "key_value/write_resolution.hpp"

#include "units/random_source.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::key_value;

namespace
{

// Model of one key of a store that can be written, deleted and created again.
struct model_key
{
    std::int64_t last_revision = 0;
    store_revision revision;
    std::vector<std::string> ids;
    std::set<std::string> ever_applied;

    bool swap(store_revision expected, const std::string& id,
              std::vector<std::string> replaced)
    {
        if (expected != this->revision)
        {
            return false;
        }
        this->revision = store_revision(++this->last_revision);
        this->ids = extend_write_ids(id, std::move(replaced));
        this->ever_applied.insert(id.substr(0, id.find('.')));
        return true;
    }

    void erase()
    {
        ++this->last_revision;
        this->revision = store_revision();
        this->ids.clear();
    }
};

struct delayed_attempt
{
    store_revision expected;
    std::string id;
    std::vector<std::string> base;
};

struct writer
{
    std::string id;
    store_revision expected;
    std::vector<std::string> base;
    std::optional<write_resolution> resolution;
};

struct totals
{
    std::map<write_status, int> statuses;
    int contradictions = 0;
};

// The status that a naive client assumes: not applied unless the response says
// that the transaction succeeded.
write_status naive_status(bool succeeded)
{
    return succeeded ? write_status::applied : write_status::not_applied;
}

// Several writers write one key concurrently; some of their transactions are
// delayed, and some responses are lost.
totals race(std::uint64_t seed, int steps, bool naive)
{
    random_source random(seed);
    model_key key;
    std::vector<writer> writers(4);
    std::vector<delayed_attempt> delayed;
    std::map<std::string, write_status> reported;
    std::int64_t next_id = 0;
    const auto draw = [&random](std::uint64_t limit)
    {
        return random() % limit;
    };
    for (int step = 0; step < steps; ++step)
    {
        if (draw(25) == 0)
        {
            key.erase();
        }
        if (!delayed.empty() && draw(6) == 0)
        {
            const std::size_t chosen = draw(delayed.size());
            const delayed_attempt attempt = delayed[chosen];
            delayed.erase(delayed.begin() + static_cast<long>(chosen));
            key.swap(attempt.expected, attempt.id, attempt.base);
        }
        const std::size_t index = draw(writers.size());
        writer& one = writers[index];
        if (!one.resolution)
        {
            one.id = "w" + std::to_string(next_id++);
            one.expected = key.revision;
            one.base = key.ids;
            one.resolution.emplace(one.id, one.expected,
                                   one.base.empty() ? "" : one.base.front());
            continue;
        }
        const std::uint64_t fate = draw(10);
        std::optional<write_status> status;
        if (fate < 2)
        {
            // The writer stops waiting while the transaction is in transit.
            delayed.push_back(
                {one.expected, one.resolution->next_attempt_id(), one.base});
            one.resolution->record_lost_response();
            if (naive)
            {
                status = write_status::not_applied;
            }
        }
        else
        {
            const bool applied = key.swap(
                one.expected, one.resolution->next_attempt_id(), one.base);
            if (fate < 5)
            {
                one.resolution->record_lost_response();
            }
            else if (naive)
            {
                status = naive_status(applied);
            }
            else
            {
                status = applied ? one.resolution->record_success()
                                 : one.resolution->record_failed_compare(
                                       key.revision, key.ids);
            }
        }
        if (!status && draw(40) == 0)
        {
            status = one.resolution->abandon();
        }
        if (status)
        {
            reported[one.id] = *status;
            one.resolution.reset();
        }
    }
    totals sum;
    for (const auto& [id, status] : reported)
    {
        ++sum.statuses[status];
        const bool applied = key.ever_applied.contains(id);
        const bool contradicts =
            (status == write_status::applied && !applied) ||
            (status == write_status::not_applied && applied);
        sum.contradictions += contradicts ? 1 : 0;
    }
    return sum;
}

} // namespace

TEST_GROUP(write_resolution){};

TEST(write_resolution, reported_status_never_contradicts_the_store)
{
    totals sum;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        const totals one = race(seed, 5000, false);
        LONGS_EQUAL_TEXT(0, one.contradictions, std::to_string(seed).c_str());
        for (const auto& [status, count] : one.statuses)
        {
            sum.statuses[status] += count;
        }
    }
    // Every final status occurs; more writes are confirmed than left unknown.
    CHECK(sum.statuses[write_status::unknown] > 0);
    CHECK(sum.statuses[write_status::not_applied] > 0);
    CHECK(sum.statuses[write_status::applied] >
          sum.statuses[write_status::unknown]);
}

TEST(write_resolution, a_naive_client_reports_wrong_statuses)
{
    CHECK(race(1, 5000, true).contradictions > 0);
}

TEST(write_resolution, an_overwritten_write_is_reported_as_applied)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.record_lost_response();
    CHECK(write.record_failed_compare(store_revision(9),
                                      {"other.1", "mine.2", "base.1"}) ==
          write_status::applied);
}

TEST(write_resolution, is_not_applied_if_ids_include_the_base_but_not_the_write)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.record_lost_response();
    CHECK(
        write.record_failed_compare(store_revision(9), {"other.1", "base.1"}) ==
        write_status::not_applied);
}

TEST(write_resolution, is_unknown_if_ids_do_not_include_the_base)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.record_lost_response();
    CHECK(write.record_failed_compare(store_revision(9), {"other.1"}) ==
          write_status::unknown);
}

TEST(write_resolution, is_unknown_after_a_lost_response_to_a_creation)
{
    write_resolution write("mine", store_revision(), "");
    write.record_lost_response();
    CHECK(write.record_failed_compare(store_revision(9), {"other.1"}) ==
          write_status::unknown);
}
