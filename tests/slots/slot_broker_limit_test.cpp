#include "slots/slot_broker.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(slot_broker_limit)
{
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;
    std::map<slot_ticket, slot_command> last_commands;
    std::map<replica_id, int> grants;

    static constexpr duration step = std::chrono::milliseconds(20);
    static constexpr duration online_deadline = std::chrono::milliseconds(225);

    /// Replicas with four slots each; those that name a limit come first.
    void set_replicas(int count, int limited, double rate)
    {
        std::vector<slot_replica> usable;
        for (int number = 0; number < count; ++number)
        {
            slot_replica& replica = usable.emplace_back();
            replica.id = name_of(number);
            replica.slots = 4;
            if (number < limited)
            {
                replica.limit = request_rate(rate);
            }
        }
        this->broker.set_replicas(usable, this->now);
    }

    static replica_id name_of(int number)
    {
        return replica_id("r" + std::to_string(number));
    }

    slot_ticket request(work_class kind)
    {
        slot_request wanted;
        wanted.kind = kind;
        wanted.useful_until =
            this->now + (kind == work_class::online ? online_deadline
                                                    : std::chrono::seconds(18));
        wanted.wait_when_late = kind == work_class::batch;
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        return ticket;
    }

    void collect()
    {
        for (const slot_command& command : this->broker.take_commands())
        {
            this->last_commands[command.ticket] = command;
            if (command.decision == slot_decision::granted)
            {
                ++this->grants[command.replica];
            }
        }
    }

    void advance(duration span)
    {
        for (const time_point end = this->now + span; this->now < end;)
        {
            this->now += step;
            this->broker.tick(this->now);
            this->collect();
        }
    }

    bool was_decided(slot_ticket ticket, slot_decision decision) const
    {
        const auto found = this->last_commands.find(ticket);
        return found != this->last_commands.end() &&
               found->second.decision == decision;
    }

    /// Requests a slot every 20 ms and returns it after 60 ms.
    void play(duration span)
    {
        std::vector<slot_ticket> open;
        for (const time_point end = this->now + span; this->now < end;)
        {
            open.push_back(this->request(work_class::online));
            this->advance(step);
            if (open.size() > 3)
            {
                this->broker.release(open.front(), this->now);
                this->collect();
                open.erase(open.begin());
            }
        }
    }
};

TEST(slot_broker_limit, a_limited_replica_gets_its_rate_and_others_the_rest)
{
    this->set_replicas(3, 1, 2.0);
    this->play(std::chrono::seconds(10));
    CHECK(this->grants[name_of(0)] > 0);
    CHECK(this->grants[name_of(0)] <= 21);
    CHECK_EQUAL(500, this->grants[name_of(0)] + this->grants[name_of(1)] +
                         this->grants[name_of(2)]);
}

// Guards against requests that wait for what limits do not allow in time.
TEST(slot_broker_limit, what_the_limits_do_not_allow_is_refused_at_once)
{
    this->set_replicas(4, 4, 2.0);
    std::vector<slot_ticket> open;
    for (int count = 0; count < 50; ++count)
    {
        open.push_back(this->request(work_class::online));
    }
    int refused = 0;
    for (const slot_ticket ticket : open)
    {
        refused += this->was_decided(ticket, slot_decision::refused) ? 1 : 0;
    }
    // Two requests per second and replica, for the time of the deadline.
    CHECK(refused >= 48);
}

// Guards against taking slots back from items on a replica that may not get
// another request at once: the item would only have to come again.
TEST(slot_broker_limit, slots_of_limited_replicas_are_not_reclaimed_in_vain)
{
    this->set_replicas(2, 0, 0.0);
    std::vector<slot_ticket> items;
    for (int count = 0; count < 8; ++count)
    {
        items.push_back(this->request(work_class::batch));
    }
    this->set_replicas(2, 2, 0.5);
    for (int count = 0; count < 10; ++count)
    {
        this->request(work_class::online);
        this->advance(step);
    }
    for (const slot_ticket item : items)
    {
        CHECK_FALSE(this->was_decided(item, slot_decision::reclaimed));
    }
}

TEST(slot_broker_limit, batch_work_waits_for_the_limit)
{
    this->set_replicas(2, 2, 1.0);
    std::vector<slot_ticket> items;
    for (int count = 0; count < 8; ++count)
    {
        items.push_back(this->request(work_class::batch));
    }
    this->advance(std::chrono::seconds(2));
    const int first = this->grants[name_of(0)] + this->grants[name_of(1)];
    CHECK(first >= 2);
    CHECK(first <= 5);
    this->advance(std::chrono::seconds(8));
    CHECK_EQUAL(8, this->grants[name_of(0)] + this->grants[name_of(1)]);
    for (const slot_ticket item : items)
    {
        CHECK_FALSE(this->was_decided(item, slot_decision::refused));
    }
}

TEST(slot_broker_limit, the_slots_are_free_when_the_limit_ends)
{
    this->set_replicas(1, 1, 0.5);
    this->advance(std::chrono::seconds(10));
    CHECK_EQUAL(1, this->broker.free_slots(this->now));
    CHECK_EQUAL(1, this->broker.limited_replicas());
    this->set_replicas(1, 0, 0.0);
    CHECK_EQUAL(4, this->broker.free_slots(this->now));
    CHECK_EQUAL(0, this->broker.limited_replicas());
}

// Guards against a limit that ends unseen, since all requests go to replicas
// that name none.
TEST(slot_broker_limit, an_idle_limited_replica_gets_a_request_now_and_then)
{
    this->set_replicas(3, 1, 2.0);
    for (int second = 0; second < 20; ++second)
    {
        const slot_ticket ticket = this->request(work_class::online);
        this->advance(std::chrono::seconds(1));
        this->broker.release(ticket, this->now);
        this->collect();
    }
    CHECK(this->grants[name_of(0)] >= 3);
}
