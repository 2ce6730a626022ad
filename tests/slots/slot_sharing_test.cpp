#include "slots/sharing_world.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

namespace
{

constexpr std::uint64_t seed_count = 3;
const std::vector<std::string> usual = {"w1", "w2", "w3", "w4"};

using outcomes = std::map<std::string, sharing_world::outcome>;

/// A workspace that sends 5.8 times its usual load for ten seconds and then
/// wants 1.5 times all slots by itself. The others stay as usual and want a
/// third of the slots.
sharing_world::options hot_workspace(std::uint64_t seed)
{
    sharing_world::options options;
    options.seed = seed;
    options.loads = {
        {"hot", 32, 5.8}, {"w1", 16}, {"w2", 16}, {"w3", 8}, {"w4", 4}};
    return options;
}

/// Checks that all usual workspaces get nearly all slots that they request.
void check_usual_served(const outcomes& result)
{
    for (const std::string& name : usual)
    {
        const auto& fate = result.at(name);
        CHECK_TEXT(fate.share_at_once() >= 0.95,
                   (name + " " + std::to_string(fate.share_at_once())).c_str());
    }
}

} // namespace

/// Slots that are short, requested by callers in workspaces.
TEST_GROUP(slot_sharing){};

// Load: a hot workspace at 5.8 times its usual load. Guards against its taking
// the slots of all others, which happens if requests do not name workspaces.
TEST(slot_sharing, a_hot_workspace_gets_what_the_others_leave)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options = hot_workspace(seed);
        sharing_world world(options);
        check_usual_served(world.run());
        double used = world.slot_time("hot", std::chrono::seconds(7),
                                      std::chrono::seconds(15));
        for (const std::string& name : usual)
        {
            used += world.slot_time(name, std::chrono::seconds(7),
                                    std::chrono::seconds(15));
        }
        // 64 slots for eight seconds: the hot workspace leaves none unused.
        CHECK(used >= 0.95 * 64 * 8);
        options.named = false;
        CHECK(sharing_world(options).run().at("w1").share_at_once() < 0.5);
    }
}

// Load: as above. Guards against requests that wait although they cannot be on
// time: then their callers learn too late that they have to go elsewhere.
TEST(slot_sharing, requests_that_cannot_be_on_time_are_refused_at_once)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        const auto result = sharing_world(hot_workspace(seed)).run();
        const auto& fate = result.at("hot");
        CHECK_EQUAL(0, fate.late);
        CHECK(fate.refused_at_once >= 9 * fate.refused_after_wait);
    }
}

// Load: a small workspace behind three large ones that together want nearly
// twice all slots. Guards against a share by the number of requests, and
// against large workspaces that get unequal shares.
TEST(slot_sharing, a_small_workspace_is_served_behind_large_ones)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options;
        options.seed = seed;
        options.loads = {
            {"large1", 60}, {"large2", 80}, {"large3", 100}, {"small", 3}};
        sharing_world world(options);
        CHECK(world.run().at("small").share_at_once() >= 0.95);
        for (const char* name : {"large1", "large2", "large3"})
        {
            // A third of 64 slots for twelve seconds.
            DOUBLES_EQUAL(256.0,
                          world.slot_time(name, std::chrono::seconds(5),
                                          std::chrono::seconds(17)),
                          26.0);
        }
    }
}

// Load: two workspaces that want all slots, one with short requests and one
// with a fourth as many that take four times as long. Guards against counting
// requests in place of slot time.
TEST(slot_sharing, workspaces_get_equal_slot_time_whatever_their_requests_take)
{
    sharing_world::options options;
    options.loads = {{"short", 320, 1.0, 0, std::chrono::milliseconds(250)},
                     {"long", 80, 1.0, 0, std::chrono::seconds(1)}};
    sharing_world world(options);
    world.run();
    const double by_short = world.slot_time("short", std::chrono::seconds(5),
                                            std::chrono::seconds(20));
    const double by_long = world.slot_time("long", std::chrono::seconds(5),
                                           std::chrono::seconds(20));
    CHECK(by_short >= 0.8 * by_long);
    CHECK(by_long >= 0.8 * by_short);
}

// Load: an urgent workspace that wants one and a half times all slots, all the
// time. Guards against starvation of the lowest priority.
TEST(slot_sharing, the_lowest_priority_gets_one_grant_in_sixteen)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options;
        options.seed = seed;
        options.loads = {{"urgent", 200, 1.0, 0}, {"low", 40, 1.0, 5}};
        sharing_world world(options);
        const auto result = world.run();
        // Those that only a turn can serve do not wait for a slot that more
        // urgent requests will take.
        CHECK(result.at("low").refused_at_once >=
              9 * result.at("low").refused_after_wait);
        const double low = world.slot_time("low", std::chrono::seconds(5),
                                           std::chrono::seconds(20));
        // One in sixteen of 64 slots for fifteen seconds.
        DOUBLES_EQUAL(60.0, low, 18.0);
    }
}

// Load: the broker changes in the middle of a surge. Guards against a new
// broker that does not know who used the slots before.
TEST(slot_sharing, shares_are_as_before_a_second_after_the_broker_changed)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options = hot_workspace(seed);
        options.broker_change = std::chrono::seconds(10);
        sharing_world world(options);
        check_usual_served(world.run());
        const double before = world.slot_time("hot", std::chrono::seconds(7),
                                              std::chrono::seconds(10));
        const double after = world.slot_time("hot", std::chrono::seconds(11),
                                             std::chrono::seconds(14));
        CHECK(after <= 1.1 * before);
    }
}

// Load: a surge at two brokers with half of the replicas each, while nodes
// choose replicas on their own for one request in twenty.
TEST(slot_sharing, shares_hold_with_two_brokers_and_nodes_that_choose_alone)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options = hot_workspace(seed);
        options.brokers = 2;
        options.chosen_alone = 0.05;
        check_usual_served(sharing_world(options).run());
    }
}

// Load: all replicas are away for four seconds, and the refused callers
// return. Guards against their return at one moment, and against a small
// workspace that waits behind the backlog of the large ones.
TEST(slot_sharing, callers_return_spread_out_after_an_outage)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        sharing_world::options options;
        options.seed = seed;
        options.loads = {{"large", 60}, {"medium", 40}, {"small", 10}};
        options.outage_start = std::chrono::seconds(8);
        options.outage_end = std::chrono::seconds(12);
        sharing_world shared(options);
        const auto result = shared.run();
        CHECK(result.at("small").served >= 0.95 * result.at("small").requests);
        options.named = false;
        sharing_world unnamed(options);
        unnamed.run();
        CHECK(shared.most_attempts(options.outage_end) * 3 <
              unnamed.most_attempts(options.outage_end) * 2);
    }
}

// Load: batch items of a large workspace that take two and a half times the
// slots that online requests leave. Guards against items of a small workspace
// that wait behind all of them.
TEST(slot_sharing, batch_items_share_the_slots_among_themselves)
{
    sharing_world::options options;
    options.loads = {
        {"online", 20},
        {"large", 30, 1.0, 0, std::chrono::seconds(4), work_class::batch},
        {"small", 1, 1.0, 0, std::chrono::seconds(4), work_class::batch}};
    options.run_time = std::chrono::seconds(40);
    const auto result = sharing_world(options).run();
    CHECK(result.at("online").share_at_once() >= 0.95);
    CHECK(result.at("small").mean_wait() < 1.0);
    CHECK(result.at("large").mean_wait() > 5.0);
    options.named = false;
    CHECK(sharing_world(options).run().at("small").mean_wait() > 5.0);
}

/// Single decisions of a broker.
TEST_GROUP(slot_sharing_broker)
{
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;

    /// \returns The retry time of a request, which has to be refused.
    duration refusal(const char* workspace)
    {
        this->request(workspace);
        const auto commands = this->broker.take_commands();
        CHECK_EQUAL(1, commands.size());
        CHECK(commands.front().decision == slot_decision::refused);
        return commands.front().retry_after;
    }

    slot_ticket request(const char* workspace,
                        duration useful = std::chrono::milliseconds(225))
    {
        slot_request wanted;
        wanted.useful_until = this->now + useful;
        wanted.wait_when_late = useful <= duration::zero();
        wanted.workspace = workspace_name(workspace);
        const slot_ticket ticket(this->next_ticket++);
        this->broker.request(ticket, wanted, this->now);
        return ticket;
    }

    void set_slots(int slots)
    {
        this->broker.set_replicas(
            {slot_replica{replica_id("r"), availability_zone_name("z"), slots}},
            this->now);
    }

    void check_between(int least_ms, duration found, int most_ms)
    {
        CHECK(found >= std::chrono::milliseconds(least_ms));
        CHECK(found <= std::chrono::milliseconds(most_ms));
    }
};

// Load: a full pool and callers that are refused one after another. Guards
// against callers of one workspace that are all told to return for the slot
// that is free next.
TEST(slot_sharing_broker, callers_are_told_the_wait_of_their_own_workspace)
{
    this->set_slots(2);
    this->request("hot");
    this->request("hot");
    this->broker.take_commands();
    // A slot is free about every 250 ms; up to half is added.
    this->check_between(250, this->refusal("hot"), 375);
    this->check_between(500, this->refusal("hot"), 750);
    this->check_between(750, this->refusal("hot"), 1125);
    this->check_between(250, this->refusal("other"), 375);
}

// Guards against a small workspace whose retries, which are late, starve while
// a hot workspace always has requests on time.
TEST(slot_sharing_broker, a_late_retry_goes_before_requests_of_a_hot_workspace)
{
    this->set_slots(16);
    const slot_ticket first = this->request("hot");
    for (int slot = 1; slot < 16; ++slot)
    {
        this->request("hot");
    }
    this->request("hot");
    const slot_ticket retry = this->request("small", duration::zero());
    this->broker.take_commands();
    this->broker.release(first, this->now);
    const auto commands = this->broker.take_commands();
    CHECK(!commands.empty());
    CHECK(commands.front().ticket == retry);
    CHECK(commands.front().decision == slot_decision::granted);
}
