#include "decisions/once_ledger.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>
#include <utility>

using namespace parsleytrack;

namespace
{

once_operation make_acquire(int key, const std::string& fingerprint)
{
    once_operation operation;
    operation.key = std::to_string(key);
    operation.entry.fingerprint = fingerprint;
    operation.entry.claim = static_cast<std::uint64_t>(key) + 1;
    operation.give_up_at = time_point::max();
    return operation;
}

} // namespace

TEST_GROUP(once_ledger_page){};

TEST(once_ledger_page, an_outage_refuses_a_new_call_at_once)
{
    once_ledger ledger([](const node_id&) { return false; });
    ledger.submit(make_acquire(1, "body"));
    CHECK(ledger.next_action(time_point(), 0).has_value());
    ledger.on_page(time_point(), error{});
    const auto answers = ledger.take_answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].second.what == once_outcome::kind::unavailable);
}

TEST(once_ledger_page, a_page_stays_bounded_and_forgets_no_key_before_its_time)
{
    once_ledger ledger([](const node_id&) { return false; });
    time_point now;
    seen_once_page stored;
    int full = 0;
    const std::string fingerprint(1000, 'f');
    const auto settle = [&](std::int64_t now_s)
    {
        for (int round = 0; round < 4; ++round)
        {
            now += std::chrono::seconds(1);
            const auto action = ledger.next_action(now, now_s);
            if (!action)
            {
                break;
            }
            if (!action->write)
            {
                ledger.on_page(now, stored);
                continue;
            }
            stored = {action->write->page, stored.revision.next()};
            ledger.on_swap(now, std::pair(true, stored));
        }
        for (const auto& [number, outcome] : ledger.take_answers())
        {
            full += outcome.what == once_outcome::kind::full ? 1 : 0;
        }
    };
    for (int key = 0; key < 1500; ++key)
    {
        ledger.submit(make_acquire(key, fingerprint));
        if (key % 10 == 0)
        {
            settle(key);
        }
    }
    settle(1500);
    CHECK(full > 0);
    CHECK(stored.page.entries.count("0") == 1);
    const int full_before = full;
    ledger.submit(make_acquire(9999, fingerprint));
    settle(once_ledger::retention_s + 2000);
    LONGS_EQUAL(full_before, full);
    CHECK(stored.page.entries.count("0") == 0);
    CHECK(stored.page.entries.count("9999") == 1);
}
