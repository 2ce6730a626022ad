#include "membership/membership_world.hpp"
#include "peering/group_options.hpp"
#include "slots/broker_selector.hpp"
#include "slots/limit_share.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace parsleytrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int node_count = 9;
constexpr std::uint64_t seed_count = 30;
constexpr request_rate named_limit(10.0);
/// The platform's bound: within any window, at most this many times what the
/// limit allows, and some requests more.
constexpr duration window = seconds(4);
constexpr duration step = milliseconds(100);
constexpr double allowed_factor = 1.5;
constexpr double allowed_excess = 5.0;

/// Adds up what all nodes may send to one replica at the same time.
class limit_sum
{
public:
    explicit limit_sum(std::uint64_t seed)
        : world(seed, peering::group_options())
    {
        for (int node = 0; node < node_count; ++node)
        {
            this->world.start(node);
        }
        this->world.run_for(seconds(5));
    }

    /// Runs the nodes and checks each window.
    void run_for(duration span)
    {
        for (duration passed = duration::zero(); passed < span; passed += step)
        {
            this->world.run_for(step);
            this->samples.push_back(this->allowed_now());
            if (this->samples.size() > static_cast<std::size_t>(window / step))
            {
                this->samples.pop_front();
            }
            double requests = 0.0;
            for (const double rate : this->samples)
            {
                requests += rate * std::chrono::duration<double>(step).count();
            }
            this->most = std::max(this->most, requests);
        }
    }

    /// \returns The most requests that all nodes together could have sent
    /// within a window.
    double most_in_window() const { return this->most; }

    /// \returns The rate that all nodes together may send now.
    double allowed_now() const
    {
        double sum = 0.0;
        for (int node = 0; node < node_count; ++node)
        {
            if (const membership* view = this->world.view_of(node))
            {
                sum += share_of(*view, this->world.now()).per_second();
            }
        }
        return sum;
    }

    membership_world world;

private:
    static request_rate share_of(const membership& view, time_point now)
    {
        std::vector<node_info> live = view.nodes();
        std::erase_if(live, [](const node_info& node)
                      { return node.state != node_state::alive; });
        slots::broker_selector selector(duration::zero());
        const node_info& broker =
            selector.choose("llm/0", view.own_info(), live, now);
        return slots::limit_share(
            named_limit,
            slots::group_view{broker.id == view.own_info().id,
                              std::max<std::size_t>(1, live.size()),
                              view.lost_nodes()});
    }

    std::deque<double> samples;
    double most = 0.0;
};

double allowed()
{
    return allowed_factor * named_limit.per_second() *
               std::chrono::duration<double>(window).count() +
           allowed_excess;
}

} // namespace

/// A replica names a limit, which the brokers of its pool divide by what they
/// know of the group.
TEST_GROUP(limit_sum){};

// Guards against two parts of a group that each take the whole limit.
TEST(limit_sum, parts_that_do_not_see_each_other_share_the_limit)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        limit_sum sum(seed);
        sum.world.partition(
            [seed](int node)
            { return node % (2 + static_cast<int>(seed % 3)); });
        sum.run_for(seconds(20));
        CHECK_COMPARE(sum.most_in_window(), <=, allowed());
        DOUBLES_EQUAL(named_limit.per_second(), sum.allowed_now(), 0.01);
        sum.world.heal();
        sum.run_for(seconds(10));
        CHECK_COMPARE(sum.most_in_window(), <=, allowed());
        DOUBLES_EQUAL(named_limit.per_second(), sum.allowed_now(), 0.01);
    }
}

// Guards against brokers that act for a moment at the same time, again and
// again.
TEST(limit_sum, it_is_kept_while_nodes_restart_freeze_and_are_cut_off)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        limit_sum sum(seed);
        random_source random(seed);
        for (int fault = 0; fault < 40; ++fault)
        {
            const int node = static_cast<int>(random() % node_count);
            switch (random() % 5)
            {
            case 0:
                sum.world.kill(node);
                break;
            case 1:
                sum.world.freeze(node);
                break;
            case 2:
                sum.world.partition([node](int other)
                                    { return other == node ? 1 : 0; });
                break;
            default:
                sum.world.heal();
                for (int other = 0; other < node_count; ++other)
                {
                    sum.world.thaw(other);
                    if (!sum.world.is_running(other))
                    {
                        sum.world.start(other);
                    }
                }
                break;
            }
            sum.run_for(milliseconds(500 + random() % 4000));
        }
        CHECK_COMPARE(sum.most_in_window(), <=, allowed());
    }
}

// Guards against a process that starts behind a cut and takes the few nodes
// that it sees for the whole group.
TEST(limit_sum, a_process_that_starts_behind_a_cut_takes_its_share)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        limit_sum sum(seed);
        const int cut_off = static_cast<int>(seed % node_count);
        sum.world.partition(
            [cut_off](int node)
            { return node == cut_off || node == (cut_off + 4) % 9 ? 1 : 0; });
        sum.run_for(seconds(6));
        sum.world.kill(cut_off);
        sum.run_for(seconds(1));
        sum.world.start(cut_off);
        sum.run_for(seconds(15));
        CHECK_COMPARE(sum.most_in_window(), <=, allowed());
    }
}
