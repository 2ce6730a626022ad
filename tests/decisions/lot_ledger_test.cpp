#include "decisions/lot_ledger.hpp"

#include "decisions/naive_lot.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <random>

using namespace parsleytrack;

namespace
{

lot_record fresh_record(int items)
{
    lot_record record;
    record.ended.assign(items, false);
    record.intended.assign(items, false);
    return record;
}

std::vector<lot_item> make_items(int count)
{
    std::vector<lot_item> items;
    for (int index = 0; index < count; ++index)
    {
        items.push_back({service_name("asistent-lm"),
                         index % 3 == 0 ? "pages" : "notes", true});
    }
    return items;
}

item_pull make_pull(int replica, int count)
{
    item_pull wanted;
    wanted.gate = node_id("gate");
    wanted.replica = replica_id(std::to_string(replica));
    wanted.service = service_name("asistent-lm");
    wanted.models = {"notes", "pages"};
    wanted.replicas_in_use = 4;
    wanted.max_items = count;
    return wanted;
}

std::map<int, item_status> commit_all(lot_ledger& ledger)
{
    std::map<int, item_status> statuses;
    for (const item_result& result : ledger.begin_commit().results)
    {
        statuses[result.index] = result.status;
    }
    ledger.commit_applied();
    return statuses;
}

} // namespace

TEST_GROUP(lot_ledger)
{
    time_point now;
};

TEST(lot_ledger, agrees_with_the_naive_one)
{
    constexpr int items = 50;
    for (int seed = 1; seed <= 200; ++seed)
    {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const auto draw = [&random](int limit)
        {
            return static_cast<int>(random() % static_cast<unsigned>(limit));
        };
        lot_ledger ledger({}, make_items(items), fresh_record(items),
                          this->now);
        naive_lot naive({}, make_items(items));
        std::map<int, item_status> committed;
        for (int step = 0; step < 3000; ++step)
        {
            this->now += std::chrono::milliseconds(draw(200));
            if (draw(3) == 0)
            {
                // One after the other: the order of arguments is left open.
                const auto first = draw(4);
                const auto wanted = make_pull(first, draw(4) + 1);
                std::vector<int> handed_out;
                for (const auto& item : ledger.pull(this->now, wanted))
                {
                    const auto& row = naive.rows[item.index];
                    CHECK(item.run_alone == (row.deaths >= 2));
                    CHECK(item.generated_so_far == row.generated);
                    handed_out.push_back(item.index);
                }
                CHECK(handed_out == naive.pull(this->now, wanted));
                continue;
            }
            if (draw(50) == 0)
            {
                ledger.expire(this->now);
                naive.expire(this->now);
                continue;
            }
            if (draw(40) == 0)
            {
                committed.merge(commit_all(ledger));
            }
            attempt_report ended;
            ended.index = draw(items);
            ended.attempt = std::max(1, naive.rows[ended.index].attempt -
                                            (draw(5) == 0 ? 1 : 0));
            ended.how = static_cast<attempt_end>(draw(6));
            if (ended.how == attempt_end::completed && draw(2) == 0)
            {
                ended.how = attempt_end::replica_lost;
            }
            ended.replica = replica_id(std::to_string(draw(4)));
            ended.generated_so_far.assign(static_cast<std::size_t>(draw(20)),
                                          'x');
            ledger.report(this->now, ended);
            naive.report(this->now, ended);
        }
        committed.merge(commit_all(ledger));
        for (int index = 0; index < items; ++index)
        {
            const auto found = committed.find(index);
            const auto& expected = naive.rows[index].result;
            CHECK((found != committed.end()) == expected.has_value());
            CHECK(!expected || *expected == found->second);
        }
    }
}

TEST(lot_ledger, an_item_that_kills_replicas_runs_alone_and_then_fails)
{
    lot_ledger ledger({}, make_items(1), fresh_record(1), this->now);
    for (int death = 1; death <= 3; ++death)
    {
        this->now += std::chrono::seconds(10);
        const auto handed_out = ledger.pull(this->now, make_pull(death, 1));
        LONGS_EQUAL(1, handed_out.size());
        CHECK(handed_out[0].run_alone == (death == 3));
        attempt_report ended;
        ended.attempt = death;
        ended.how = attempt_end::replica_lost;
        ended.replica = replica_id(std::to_string(death));
        ledger.report(this->now, ended);
    }
    CHECK(commit_all(ledger).at(0) == item_status::failed);
    CHECK(ledger.complete());
}

TEST(lot_ledger, a_gate_that_dies_costs_no_attempt)
{
    lot_ledger ledger({}, make_items(1), fresh_record(1), this->now);
    for (int loss = 0; loss < 20; ++loss)
    {
        LONGS_EQUAL(1, ledger.pull(this->now, make_pull(1, 1)).size());
        ledger.drop_gates(this->now, [](const node_id&) { return true; });
    }
    LONGS_EQUAL(1, ledger.pull(this->now, make_pull(1, 1)).size());
}

TEST(lot_ledger, commits_become_rarer_the_longer_a_lot_runs)
{
    lot_ledger ledger({}, make_items(2), fresh_record(2), this->now);
    ledger.pull(this->now, make_pull(1, 1));
    attempt_report ended;
    ended.index = 1;
    ended.attempt = 1;
    ended.how = attempt_end::completed;
    ledger.report(this->now, ended);
    this->now += std::chrono::seconds(3);
    CHECK(ledger.commit_due(this->now, 0));
    CHECK(!ledger.commit_due(this->now, 8));
}
