#include "slots/slot_broker.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(slot_broker)
{
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;
    std::map<slot_ticket, slot_command> last_commands;

    void set_replicas(int count, int slots, const char* zone = "z")
    {
        std::vector<slot_replica> usable;
        for (int number = 0; number < count; ++number)
        {
            usable.push_back(
                slot_replica{replica_id("r" + std::to_string(number)),
                             availability_zone_name(zone), slots});
        }
        this->broker.set_replicas(usable, this->now);
    }

    slot_ticket request_slot(work_class kind, duration useful_for,
                             bool wait_when_late = false)
    {
        slot_request wanted;
        wanted.kind = kind;
        wanted.useful_until = this->now + useful_for;
        wanted.wait_when_late = wait_when_late;
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        return ticket;
    }

    slot_ticket online()
    {
        return this->request_slot(work_class::online, online_deadline);
    }
    slot_ticket batch()
    {
        return this->request_slot(work_class::batch, std::chrono::seconds(18),
                                  true);
    }

    void release(slot_ticket ticket)
    {
        this->broker.release(ticket, this->now);
        this->collect();
    }

    void advance(duration span)
    {
        this->now += span;
        this->broker.tick(this->now);
        this->collect();
    }

    void collect()
    {
        for (const slot_command& command : this->broker.take_commands())
        {
            this->last_commands[command.ticket] = command;
        }
    }

    bool was_decided(slot_ticket ticket, slot_decision decision) const
    {
        const auto found = this->last_commands.find(ticket);
        return found != this->last_commands.end() &&
               found->second.decision == decision;
    }

    static constexpr duration online_deadline = std::chrono::milliseconds(225);
};

TEST(slot_broker, never_grants_more_slots_than_exist)
{
    this->set_replicas(2, 3);
    int granted = 0;
    for (int count = 0; count < 10; ++count)
    {
        granted +=
            this->was_decided(this->online(), slot_decision::granted) ? 1 : 0;
    }
    CHECK_EQUAL(6, granted);
    CHECK_EQUAL(6, this->broker.used_slots());
}

TEST(slot_broker, spreads_over_replicas_and_prefers_the_callers_zone)
{
    this->broker.set_replicas(
        {slot_replica{replica_id("near"), availability_zone_name("a"), 2},
         slot_replica{replica_id("far"), availability_zone_name("b"), 2}},
        this->now);
    std::map<std::string, int> chosen;
    for (int count = 0; count < 3; ++count)
    {
        slot_request wanted;
        wanted.useful_until = this->now + online_deadline;
        wanted.availability_zone = availability_zone_name("a");
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        ++chosen[this->last_commands.at(ticket).replica.str()];
    }
    CHECK_EQUAL(2, chosen["near"]);
    CHECK_EQUAL(1, chosen["far"]);
}

TEST(slot_broker, batch_fills_all_slots_but_the_online_reserve)
{
    this->set_replicas(4, 8);
    for (int count = 0; count < 40; ++count)
    {
        this->batch();
    }
    CHECK_EQUAL(30, this->broker.used_slots());
    CHECK(this->was_decided(this->online(), slot_decision::granted));
}

// Guards against bursts that wait behind batch work: at the sites, online load
// comes in steps of seconds and finds all slots held by batch work.
TEST(slot_broker, a_burst_reclaims_the_slot_of_batch_work_due_last)
{
    this->set_replicas(1, 4);
    const slot_ticket due_first =
        this->request_slot(work_class::batch, std::chrono::seconds(5), true);
    const slot_ticket due_last =
        this->request_slot(work_class::batch, std::chrono::seconds(18), true);
    this->batch();
    this->batch();
    const slot_ticket waiting = this->online();
    CHECK_FALSE(this->was_decided(waiting, slot_decision::granted));
    CHECK_FALSE(this->was_decided(due_first, slot_decision::reclaimed));
    int reclaimed = 0;
    for (const auto& [ticket, command] : this->last_commands)
    {
        reclaimed += command.decision == slot_decision::reclaimed ? 1 : 0;
    }
    CHECK_EQUAL(1, reclaimed);
    for (const auto& [ticket, command] : std::map(this->last_commands))
    {
        if (command.decision == slot_decision::reclaimed)
        {
            this->release(ticket);
        }
    }
    CHECK(this->was_decided(waiting, slot_decision::granted));
    (void)due_last;
}

TEST(slot_broker, one_slot_is_reclaimed_for_each_waiting_request)
{
    this->set_replicas(1, 8);
    for (int count = 0; count < 8; ++count)
    {
        this->batch();
    }
    for (int count = 0; count < 3; ++count)
    {
        this->online();
    }
    int reclaimed = 0;
    for (const auto& [ticket, command] : this->last_commands)
    {
        reclaimed += command.decision == slot_decision::reclaimed ? 1 : 0;
    }
    CHECK_EQUAL(3, reclaimed);
}

TEST(slot_broker, a_request_that_would_be_late_is_refused_at_once)
{
    this->set_replicas(1, 2);
    this->online();
    this->online();
    // Each slot is held for about 0.5 s, so the wait is about 0.25 s.
    const slot_ticket late = this->online();
    CHECK(this->was_decided(late, slot_decision::refused));
    CHECK(this->last_commands.at(late).retry_after >=
          std::chrono::milliseconds(200));
    CHECK(this->last_commands.at(late).retry_after <= std::chrono::seconds(2));
}

TEST(slot_broker, a_backlog_after_an_outage_does_not_delay_new_requests)
{
    // After an outage most waiting requests are past their deadline. Served in
    // order of arrival they would take all slots, and each new request would
    // be late as well until the backlog is gone.
    this->set_replicas(2, 4);
    std::vector<slot_ticket> running;
    for (int slot = 0; slot < 8; ++slot)
    {
        running.push_back(this->online());
    }
    std::vector<slot_ticket> backlog;
    for (int caller = 0; caller < 50; ++caller)
    {
        backlog.push_back(
            this->request_slot(work_class::online, duration::zero(), true));
    }
    const slot_ticket fresh =
        this->request_slot(work_class::online, online_deadline, true);
    this->release(running[0]);
    CHECK(this->was_decided(fresh, slot_decision::granted));
    this->release(running[1]);
    CHECK(this->was_decided(backlog[0], slot_decision::granted));
}

TEST(slot_broker, a_waiting_request_is_refused_after_its_deadline)
{
    this->set_replicas(1, 8);
    for (int count = 0; count < 8; ++count)
    {
        this->online();
    }
    const slot_ticket waiting = this->online();
    CHECK_FALSE(this->was_decided(waiting, slot_decision::refused));
    this->advance(online_deadline + std::chrono::milliseconds(1));
    CHECK(this->was_decided(waiting, slot_decision::refused));
}

TEST(slot_broker, a_late_retry_waits_behind_requests_on_time)
{
    this->set_replicas(1, 8);
    std::vector<slot_ticket> running;
    for (int count = 0; count < 8; ++count)
    {
        running.push_back(this->online());
    }
    const slot_ticket again =
        this->request_slot(work_class::online, duration::zero(), true);
    this->advance(std::chrono::milliseconds(10));
    const slot_ticket on_time = this->online();
    this->release(running[0]);
    CHECK(this->was_decided(on_time, slot_decision::granted));
    this->release(running[1]);
    CHECK(this->was_decided(again, slot_decision::granted));
}

TEST(slot_broker, a_failing_replica_is_excluded_and_retried)
{
    this->set_replicas(1, 4);
    const slot_ticket first = this->online();
    this->broker.report_failure(replica_id("r0"), this->now);
    this->broker.report_failure(replica_id("r0"), this->now);
    this->release(first);
    CHECK_FALSE(this->was_decided(this->online(), slot_decision::granted));
    this->advance(std::chrono::seconds(1));
    // One request at a time until one succeeds.
    CHECK(this->was_decided(this->online(), slot_decision::granted));
    CHECK_FALSE(this->was_decided(this->online(), slot_decision::granted));
    this->broker.report_success(replica_id("r0"));
    CHECK(this->was_decided(this->online(), slot_decision::granted));
}

TEST(slot_broker, adopted_slots_count_as_used)
{
    this->set_replicas(1, 2);
    slot_request wanted;
    wanted.useful_until = this->now + online_deadline;
    const slot_ticket adopted(this->next_ticket++);
    this->broker.adopt(adopted, wanted, replica_id("r0"), this->now);
    this->online();
    CHECK_EQUAL(2, this->broker.used_slots());
    CHECK_FALSE(this->was_decided(this->online(), slot_decision::granted));
    this->release(adopted);
    CHECK(this->was_decided(this->online(), slot_decision::granted));
}

// Guards against an item that waits for another replica than one and holds up
// all batch work that may run there.
TEST(slot_broker, batch_that_excludes_a_replica_does_not_hold_up_the_rest)
{
    this->set_replicas(1, 16);
    slot_request wanted;
    wanted.kind = work_class::batch;
    wanted.useful_until = this->now + std::chrono::seconds(1);
    wanted.wait_when_late = true;
    wanted.excluded = {replica_id("r0")};
    const slot_ticket excluding(this->next_ticket++);
    this->broker.request(excluding, wanted, this->now);
    const slot_ticket other = this->batch();
    CHECK(this->was_decided(other, slot_decision::granted));
    CHECK_EQUAL(1, this->broker.waiting_batch());
    this->set_replicas(2, 16);
    this->collect();
    CHECK(this->was_decided(excluding, slot_decision::granted));
}

TEST(slot_broker, without_replicas_online_is_refused_and_batch_waits)
{
    const slot_ticket refused = this->online();
    const slot_ticket waiting = this->batch();
    CHECK(this->was_decided(refused, slot_decision::refused));
    this->set_replicas(1, 4);
    this->advance(std::chrono::milliseconds(20));
    CHECK(this->was_decided(waiting, slot_decision::granted));
}

// Guards against callers who are late already and wait, until they leave, for a
// slot that they cannot get.
TEST(slot_broker, a_late_request_that_nobody_will_wait_for_is_refused_at_once)
{
    this->set_replicas(1, 2);
    std::vector<slot_ticket> late;
    for (int count = 0; count < 20; ++count)
    {
        slot_request wanted;
        wanted.useful_until = this->now;
        wanted.wait_when_late = true;
        wanted.abandoned_at = this->now + std::chrono::seconds(1);
        late.emplace_back(this->next_ticket++);
        this->broker.request(late.back(), wanted, this->now);
        this->collect();
    }
    // Two slots that are held for half a second each.
    CHECK(this->was_decided(late[1], slot_decision::granted));
    for (int count = 2; count < 6; ++count)
    {
        CHECK_FALSE(this->was_decided(late[static_cast<std::size_t>(count)],
                                      slot_decision::refused));
    }
    for (std::size_t count = 6; count < late.size(); ++count)
    {
        CHECK(this->was_decided(late[count], slot_decision::refused));
    }
}

// Guards against refusing late requests because no replica is there yet.
TEST(slot_broker, a_late_request_waits_for_a_replica_to_return)
{
    slot_request wanted;
    wanted.useful_until = this->now;
    wanted.wait_when_late = true;
    wanted.abandoned_at = this->now + std::chrono::seconds(1);
    const slot_ticket ticket(this->next_ticket++);
    this->broker.request(ticket, wanted, this->now);
    this->advance(std::chrono::milliseconds(500));
    this->set_replicas(1, 2);
    this->advance(std::chrono::milliseconds(20));
    CHECK(this->was_decided(ticket, slot_decision::granted));
}
