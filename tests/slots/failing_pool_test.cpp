#include "slots/slot_broker.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(failing_pool)
{
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;
    std::map<slot_ticket, slot_command> commands;

    static constexpr int slots_per_replica = 8;

    void set_replicas(int count)
    {
        std::vector<slot_replica> usable;
        for (int number = 0; number < count; ++number)
        {
            usable.push_back(slot_replica{replica(number),
                                          availability_zone_name("z"),
                                          slots_per_replica});
        }
        this->broker.set_replicas(usable, this->now);
    }

    static replica_id replica(int number)
    {
        return replica_id("r" + std::to_string(number));
    }

    /// Reports as many failures as exclude a replica.
    void fail(int number)
    {
        for (int count = 0; count < slot_broker_options().failure_limit;
             ++count)
        {
            this->broker.report_failure(replica(number), this->now);
        }
    }

    /// \returns The replica that a new request gets at once; empty if it waits.
    std::string replica_of_request(work_class kind = work_class::online)
    {
        slot_request wanted;
        wanted.kind = kind;
        wanted.useful_until = this->now + std::chrono::milliseconds(375);
        wanted.wait_when_late = kind == work_class::batch;
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        this->collect();
        const auto found = this->commands.find(ticket);
        return found == this->commands.end() ? "" : found->second.replica.str();
    }

    void collect()
    {
        for (const slot_command& command : this->broker.take_commands())
        {
            this->commands[command.ticket] = command;
        }
    }
};

// Guards against refusing requests while replicas can serve them: late copies
// of responses counted as two failures in a row of both replicas, and neither
// got a request for half a second, which is longer than a request waits.
TEST(failing_pool, a_fault_of_all_replicas_excludes_none)
{
    this->set_replicas(2);
    this->fail(0);
    this->fail(1);
    const std::string first = this->replica_of_request();
    const std::string second = this->replica_of_request();
    CHECK_FALSE(first.empty());
    CHECK_FALSE(second.empty());
    CHECK(first != second);
}

// Guards against flooding replicas that have all stopped responding: each has
// one request at a time until one of them succeeds.
TEST(failing_pool, replicas_that_all_fail_get_one_request_at_a_time)
{
    this->set_replicas(2);
    this->fail(0);
    this->fail(1);
    this->replica_of_request();
    this->replica_of_request();
    STRCMP_EQUAL("", this->replica_of_request().c_str());
    this->broker.report_success(replica(1));
    STRCMP_EQUAL("r1", this->replica_of_request().c_str());
}

// Guards against sending requests to a failing replica while another one of the
// pool is sound.
TEST(failing_pool, a_fault_of_some_replicas_excludes_these)
{
    this->set_replicas(2);
    this->fail(1);
    this->broker.report_success(replica(1));
    this->now += slot_broker_options().initial_backoff;
    this->fail(0);
    for (int count = 0; count < slots_per_replica; ++count)
    {
        STRCMP_EQUAL("r1", this->replica_of_request().c_str());
    }
    STRCMP_EQUAL("", this->replica_of_request().c_str());
}

// Guards against using up the attempts of batch items, which can wait, while
// all replicas fail.
TEST(failing_pool, batch_items_wait_while_all_replicas_are_excluded)
{
    this->set_replicas(2);
    this->fail(0);
    this->fail(1);
    STRCMP_EQUAL("", this->replica_of_request(work_class::batch).c_str());
}
