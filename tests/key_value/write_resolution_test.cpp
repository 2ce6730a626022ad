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

// One key of a store that can be written, deleted and created again.
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

struct copy_under_way
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
    std::map<write_verdict, int> verdicts;
    int wrong = 0;
};

// Takes a lost answer or a failed comparison at its word, as a naive client.
write_verdict naive_verdict(bool succeeded)
{
    return succeeded ? write_verdict::applied : write_verdict::not_applied;
}

// Several writers race for one key; copies of their transactions arrive late
// and answers are lost.
totals race(std::uint64_t seed, int steps, bool naive)
{
    random_source random(seed);
    model_key key;
    std::vector<writer> writers(4);
    std::vector<copy_under_way> late;
    std::map<std::string, write_verdict> said;
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
        if (!late.empty() && draw(6) == 0)
        {
            const std::size_t chosen = draw(late.size());
            const copy_under_way copy = late[chosen];
            late.erase(late.begin() + static_cast<long>(chosen));
            key.swap(copy.expected, copy.id, copy.base);
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
        std::optional<write_verdict> verdict;
        if (fate < 2)
        {
            // The copy is still on its way when the answer is given up on.
            late.push_back(
                {one.expected, one.resolution->next_copy_id(), one.base});
            one.resolution->answer_lost();
            if (naive)
            {
                verdict = write_verdict::not_applied;
            }
        }
        else
        {
            const bool applied = key.swap(
                one.expected, one.resolution->next_copy_id(), one.base);
            if (fate < 5)
            {
                one.resolution->answer_lost();
            }
            else if (naive)
            {
                verdict = naive_verdict(applied);
            }
            else
            {
                verdict = applied
                              ? one.resolution->succeeded()
                              : one.resolution->failed(key.revision, key.ids);
            }
        }
        if (!verdict && draw(40) == 0)
        {
            verdict = one.resolution->give_up();
        }
        if (verdict)
        {
            said[one.id] = *verdict;
            one.resolution.reset();
        }
    }
    totals sum;
    for (const auto& [id, verdict] : said)
    {
        ++sum.verdicts[verdict];
        const bool applied = key.ever_applied.contains(id);
        const bool contradicts =
            (verdict == write_verdict::applied && !applied) ||
            (verdict == write_verdict::not_applied && applied);
        sum.wrong += contradicts ? 1 : 0;
    }
    return sum;
}

} // namespace

TEST_GROUP(write_resolution){};

TEST(write_resolution, never_contradicts_what_happened)
{
    totals sum;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        const totals one = race(seed, 5000, false);
        LONGS_EQUAL_TEXT(0, one.wrong, std::to_string(seed).c_str());
        for (const auto& [verdict, count] : one.verdicts)
        {
            sum.verdicts[verdict] += count;
        }
    }
    // Each verdict occurs, and most writes are decided.
    CHECK(sum.verdicts[write_verdict::unknown] > 0);
    CHECK(sum.verdicts[write_verdict::not_applied] > 0);
    CHECK(sum.verdicts[write_verdict::applied] >
          sum.verdicts[write_verdict::unknown]);
}

TEST(write_resolution, a_naive_client_contradicts_what_happened)
{
    CHECK(race(1, 5000, true).wrong > 0);
}

TEST(write_resolution, a_write_that_was_overwritten_in_turn_was_applied)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.answer_lost();
    CHECK(write.failed(store_revision(9), {"other.1", "mine.2", "base.1"}) ==
          write_verdict::applied);
}

TEST(write_resolution, ids_that_reach_back_to_the_base_prove_a_loss)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.answer_lost();
    CHECK(write.failed(store_revision(9), {"other.1", "base.1"}) ==
          write_verdict::not_applied);
}

TEST(write_resolution, ids_that_do_not_reach_back_prove_nothing)
{
    write_resolution write("mine", store_revision(4), "base.1");
    write.answer_lost();
    CHECK(write.failed(store_revision(9), {"other.1"}) ==
          write_verdict::unknown);
}

TEST(write_resolution, a_late_copy_may_create_a_deleted_key_again)
{
    write_resolution write("mine", store_revision(), "");
    write.answer_lost();
    CHECK(write.failed(store_revision(9), {"other.1"}) ==
          write_verdict::unknown);
}
