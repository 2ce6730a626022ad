#include "slots/slot_broker.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(slot_broker_version)
{
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;
    std::map<slot_ticket, slot_command> last_commands;

    static constexpr duration online_deadline = std::chrono::milliseconds(225);

    /// Replicas "old..." and "new..." with two slots each.
    void set_replicas(int older, int newer)
    {
        std::vector<slot_replica> usable;
        for (int number = 0; number < older + newer; ++number)
        {
            const std::string version = number < older ? "old" : "new";
            slot_replica& replica = usable.emplace_back();
            replica.id = replica_id(version + std::to_string(number));
            replica.slots = 2;
            replica.version = software_version(version);
        }
        this->broker.set_replicas(usable, this->now);
    }

    slot_ticket request(work_class kind,
                        const std::optional<std::string>& version)
    {
        slot_request wanted;
        wanted.kind = kind;
        wanted.useful_until =
            this->now + (kind == work_class::online ? online_deadline
                                                    : std::chrono::seconds(18));
        wanted.wait_when_late = true;
        wanted.abandoned_at = this->now + std::chrono::seconds(2);
        if (version)
        {
            wanted.version = software_version(*version);
        }
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        return ticket;
    }

    slot_ticket online(const std::optional<std::string>& version = {})
    {
        return this->request(work_class::online, version);
    }

    slot_ticket batch(const std::optional<std::string>& version = {})
    {
        return this->request(work_class::batch, version);
    }

    /// Requests a slot for an item of version "old".
    ///
    /// \param anew_after When other versions may be granted as well.
    slot_ticket item(duration anew_after)
    {
        slot_request wanted;
        wanted.kind = work_class::batch;
        wanted.useful_until = this->now + std::chrono::seconds(18);
        wanted.version = software_version("old");
        wanted.any_version_from = this->now + anew_after;
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        return ticket;
    }

    void release(slot_ticket ticket)
    {
        this->broker.release(ticket, this->now);
        this->collect();
    }

    void collect()
    {
        for (const slot_command& command : this->broker.take_commands())
        {
            this->last_commands[command.ticket] = command;
        }
    }

    bool was(slot_ticket ticket, slot_decision decision) const
    {
        const auto found = this->last_commands.find(ticket);
        return found != this->last_commands.end() &&
               found->second.decision == decision;
    }

    std::string replica_of(slot_ticket ticket) const
    {
        const auto found = this->last_commands.find(ticket);
        return found == this->last_commands.end() ? ""
                                                  : found->second.replica.str();
    }
};

// Guards against streams that go on at another version, and against more
// streams at a version than its replicas have slots.
TEST(slot_broker_version, a_version_gets_no_more_than_its_slots)
{
    this->set_replicas(1, 3);
    std::vector<slot_ticket> tickets;
    for (int count = 0; count < 4; ++count)
    {
        tickets.push_back(this->online("old"));
    }
    CHECK_EQUAL(2, this->broker.used_slots());
    STRCMP_EQUAL("old0", this->replica_of(tickets[0]).c_str());
    STRCMP_EQUAL("old0", this->replica_of(tickets[1]).c_str());
    this->release(tickets[0]);
    STRCMP_EQUAL("old0", this->replica_of(tickets[2]).c_str());
    CHECK_FALSE(this->was(tickets[3], slot_decision::granted));
}

// Guards against holding a request to its deadline that cannot be served.
TEST(slot_broker_version, a_version_without_replicas_is_refused_at_once)
{
    this->set_replicas(0, 2);
    CHECK(this->was(this->online("old"), slot_decision::refused));
}

// Guards against refusing while the list of replicas is not known yet.
TEST(slot_broker_version, requests_wait_while_there_is_no_replica_at_all)
{
    this->set_replicas(0, 0);
    const slot_ticket waiting = this->online("old");
    CHECK_FALSE(this->was(waiting, slot_decision::refused));
    this->set_replicas(1, 1);
    this->collect();
    STRCMP_EQUAL("old0", this->replica_of(waiting).c_str());
}

// Guards against new streams and batch work that wait behind streams which
// depend on a version whose slots are all in use.
TEST(slot_broker_version, others_get_the_slots_of_other_versions)
{
    this->set_replicas(1, 2);
    this->online("old");
    this->online("old");
    const slot_ticket waiting = this->online("old");
    CHECK_FALSE(this->was(waiting, slot_decision::granted));
    CHECK(this->was(this->online(), slot_decision::granted));
    CHECK(this->was(this->batch(), slot_decision::granted));
}

// Guards against streams of a version with few replicas that wait for slots
// which new streams take, although these could have others.
TEST(slot_broker_version, new_streams_leave_slots_to_those_that_depend_on_them)
{
    this->set_replicas(2, 2);
    const slot_ticket first = this->online("old");
    for (int count = 0; count < 3; ++count)
    {
        this->online("old");
    }
    const slot_ticket waiting = this->online("old");
    for (int count = 0; count < 4; ++count)
    {
        CHECK_EQUAL(0, this->replica_of(this->online()).find("new"));
    }
    this->release(first);
    CHECK_EQUAL(0, this->replica_of(waiting).find("old"));
}

// Guards against taking slots back from batch work at replicas that the waiting
// stream cannot use.
TEST(slot_broker_version, slots_are_reclaimed_at_the_version_that_is_needed)
{
    this->set_replicas(1, 1);
    std::map<std::string, std::vector<slot_ticket>> batch_at;
    for (int count = 0; count < 4; ++count)
    {
        const slot_ticket ticket = this->batch(count < 2 ? "new" : "old");
        batch_at[this->replica_of(ticket)].push_back(ticket);
    }
    const slot_ticket waiting = this->online("old");
    CHECK_FALSE(this->was(waiting, slot_decision::granted));
    int reclaimed = 0;
    for (const slot_ticket ticket : batch_at["old0"])
    {
        reclaimed += this->was(ticket, slot_decision::reclaimed) ? 1 : 0;
    }
    CHECK_EQUAL(1, reclaimed);
    for (const slot_ticket ticket : batch_at["new1"])
    {
        CHECK_FALSE(this->was(ticket, slot_decision::reclaimed));
    }
    for (const slot_ticket ticket : batch_at["old0"])
    {
        if (this->was(ticket, slot_decision::reclaimed))
        {
            this->release(ticket);
        }
    }
    STRCMP_EQUAL("old0", this->replica_of(waiting).c_str());
}

// Guards against items of a version with few replicas that keep the rest of the
// batch work from its slots.
TEST(slot_broker_version, items_of_one_version_do_not_hold_up_the_others)
{
    this->set_replicas(1, 4);
    this->batch("old");
    this->batch("old");
    const slot_ticket waiting = this->batch("old");
    CHECK(this->was(this->batch(), slot_decision::granted));
    CHECK_FALSE(this->was(waiting, slot_decision::granted));
}

// Guards against items that wait for long for a version with few replicas while
// others could start them anew, and against starting them anew too soon.
TEST(slot_broker_version, an_item_may_get_another_version_after_some_time)
{
    this->set_replicas(1, 1);
    this->batch("old");
    this->batch("old");
    const slot_ticket waiting = this->item(std::chrono::seconds(2));
    this->now += std::chrono::seconds(1);
    this->broker.tick(this->now);
    this->collect();
    STRCMP_EQUAL("", this->replica_of(waiting).c_str());
    this->now += std::chrono::seconds(1);
    this->broker.tick(this->now);
    this->collect();
    STRCMP_EQUAL("new1", this->replica_of(waiting).c_str());
}

// Guards against an alert for work that waits because all slots are in use, and
// against a silent wait beside free ones.
TEST(slot_broker_version, waits_beside_free_slots_are_measured)
{
    this->set_replicas(1, 1);
    this->online();
    this->online();
    this->online();
    this->online();
    this->batch("old");
    this->now += std::chrono::seconds(1);
    this->broker.tick(this->now);
    CHECK(this->broker.longest_idle_wait(work_class::batch, this->now) ==
          duration::zero());
    this->set_replicas(1, 2);
    this->now += std::chrono::seconds(3);
    this->broker.tick(this->now);
    CHECK(this->broker.longest_idle_wait(work_class::batch, this->now) ==
          std::chrono::seconds(3));
    CHECK(this->broker.longest_idle_wait(work_class::online, this->now) ==
          duration::zero());
}

// Guards against work that goes on at another version, and against work that
// waits for good after the doubt has ended.
TEST(slot_broker_version, doubtful_replicas_serve_no_request_of_a_version)
{
    this->set_replicas(2, 0);
    this->broker.set_doubtful({replica_id("old0"), replica_id("old1")});
    const slot_ticket stream = this->online("old");
    const slot_ticket item = this->batch("old");
    CHECK_FALSE(this->was(stream, slot_decision::granted));
    CHECK_FALSE(this->was(item, slot_decision::granted));
    this->broker.set_doubtful({replica_id("old0")});
    this->broker.tick(this->now);
    this->collect();
    STRCMP_EQUAL("old1", this->replica_of(stream).c_str());
    STRCMP_EQUAL("old1", this->replica_of(item).c_str());
}

// Guards against an item that gets a doubtful replica of its listed version
// once it may start anew, and so goes on there.
TEST(slot_broker_version, nor_an_item_that_may_start_anew)
{
    this->set_replicas(1, 0);
    this->broker.set_doubtful({replica_id("old0")});
    const slot_ticket waiting = this->item(std::chrono::seconds(2));
    const slot_ticket anew = this->batch();
    this->now += std::chrono::seconds(3);
    this->broker.tick(this->now);
    this->collect();
    STRCMP_EQUAL("", this->replica_of(waiting).c_str());
    STRCMP_EQUAL("old0", this->replica_of(anew).c_str());
    this->set_replicas(1, 1);
    this->collect();
    STRCMP_EQUAL("new1", this->replica_of(waiting).c_str());
}

// Guards against work of no version that waits behind such work.
TEST(slot_broker_version, work_that_waits_for_a_doubt_does_not_hold_up_the_rest)
{
    this->set_replicas(1, 0);
    this->broker.set_doubtful({replica_id("old0")});
    this->item(duration::zero());
    CHECK(this->was(this->batch(), slot_decision::granted));
    CHECK_EQUAL(1, this->broker.waiting_batch());
}

// Guards against taking slots back from batch work at replicas whose slots the
// waiting stream does not get.
TEST(slot_broker_version, no_slots_are_reclaimed_at_doubtful_replicas)
{
    this->set_replicas(1, 0);
    const slot_ticket item = this->batch();
    const slot_ticket other = this->batch();
    this->broker.set_doubtful({replica_id("old0")});
    this->online("old");
    CHECK_FALSE(this->was(item, slot_decision::reclaimed));
    CHECK_FALSE(this->was(other, slot_decision::reclaimed));
}
