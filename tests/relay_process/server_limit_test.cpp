#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
constexpr int engine_count = 4;
/// The platform's bound: within any window, a replica gets at most this many
/// times what its limit allows, and some requests more. It holds once the nodes
/// have had their time to learn of the limit.
constexpr duration window = std::chrono::seconds(4);
constexpr double allowed_factor = 1.5;
constexpr double allowed_excess = 5.0;
constexpr duration learning_time = std::chrono::seconds(3);
/// Time in which a request that cannot be served is to be rejected: a quarter
/// of the route's target latency.
constexpr duration rejection_time = std::chrono::milliseconds(250);
constexpr duration step = std::chrono::milliseconds(20);

std::vector<int> others(int node)
{
    std::vector<int> nodes;
    for (int other = 0; other < node_count; ++other)
    {
        if (other != node)
        {
            nodes.push_back(other);
        }
    }
    return nodes;
}

/// Online load on a fleet some of whose replicas name a limit.
class limited_fleet
{
public:
    /// \param limited Number of replicas that name a limit.
    /// \param requests_per_second The limit that they name.
    limited_fleet(int limited, double requests_per_second)
        : limited_count(limited), limit(requests_per_second)
    {
        this->name_limit(std::to_string(requests_per_second));
    }

    void name_limit(const std::string& value)
    {
        for (int number = 0; number < this->limited_count; ++number)
        {
            this->engine(number).extra_headers = {{"server-limit", value}};
        }
    }

    replica_stand_in& engine(int number)
    {
        return *this->fleet.engines.at(static_cast<std::size_t>(number));
    }

    /// Sends a request to a node in each step.
    ///
    /// \param nodes Nodes that callers use.
    void play(duration span, const std::vector<int>& nodes = {0, 1, 2},
              const char* path = "/once/a")
    {
        const time_point end = net::event_loop::now() + span;
        while (net::event_loop::now() < end)
        {
            this->send(nodes[this->calls.size() % nodes.size()], path);
            this->fleet.run_for(step);
            this->note_ends();
        }
    }

    /// Waits for the responses to all requests.
    void finish()
    {
        CHECK(this->fleet.wait(
            [this]
            {
                this->note_ends();
                return std::all_of(this->calls.begin(), this->calls.end(),
                                   [](const call& sent)
                                   { return sent.response->status >= 0; });
            }));
    }

    /// \returns The most requests that a replica got within a window since a
    /// time.
    static int most_in_window(const replica_stand_in& replica, time_point since)
    {
        int most = 0;
        const auto& arrivals = replica.arrivals;
        for (auto first =
                 std::lower_bound(arrivals.begin(), arrivals.end(), since);
             first != arrivals.end(); ++first)
        {
            const auto last =
                std::lower_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<int>(last - first));
        }
        return most;
    }

    /// \returns The same for the limited replica that got most.
    int most_in_window(time_point since)
    {
        int most = 0;
        for (int number = 0; number < this->limited_count; ++number)
        {
            most = std::max(most, most_in_window(this->engine(number), since));
        }
        return most;
    }

    double allowed() const
    {
        const double window_s = std::chrono::duration<double>(window).count();
        return allowed_factor * window_s * this->limit + allowed_excess;
    }

    /// Plays load and checks the bound from the end of the learning time on.
    ///
    /// \param during Called once, a second after the learning time.
    void check_bound(const std::function<void()>& during = {})
    {
        const time_point begin = net::event_loop::now();
        this->play(learning_time + std::chrono::seconds(1));
        CHECK(this->most_in_window(begin) > 0);
        if (during)
        {
            during();
        }
        this->play(window + std::chrono::seconds(2));
        CHECK_COMPARE(this->most_in_window(begin + learning_time), <=,
                      this->allowed());
    }

    /// \returns The number of responses with a status.
    int count(int status) const
    {
        return static_cast<int>(
            std::count_if(this->calls.begin(), this->calls.end(),
                          [status](const call& sent)
                          { return sent.response->status == status; }));
    }

    /// \returns The longest time that a rejected request had to wait.
    duration longest_rejection() const
    {
        duration longest = duration::zero();
        for (const call& sent : this->calls)
        {
            if (sent.response->status == 503)
            {
                longest = std::max(longest, sent.ended - sent.begun);
            }
        }
        return longest;
    }

    std::size_t sent() const { return this->calls.size(); }

    relay_fleet fleet{relay_fleet_options{.node_count = node_count,
                                          .engine_count = engine_count}};

private:
    struct call
    {
        std::shared_ptr<relay_fleet::response> response;
        time_point begun;
        time_point ended;
    };

    void send(int node, const char* path)
    {
        const time_point now = net::event_loop::now();
        call& sent = this->calls.emplace_back(
            call{std::make_shared<relay_fleet::response>(), now, {}});
        this->fleet.start_call(node, "POST", path,
                               "c" + std::to_string(this->calls.size()), "",
                               sent.response);
    }

    void note_ends()
    {
        for (call& sent : this->calls)
        {
            if (sent.response->status >= 0 && sent.ended == time_point())
            {
                sent.ended = net::event_loop::now();
            }
        }
    }

    int limited_count;
    double limit;
    std::vector<call> calls;
};

} // namespace

TEST_GROUP(relay_server_limit){};

// Guards against more requests at a replica than the limit that it names, as
// the sum over all nodes; the other replicas take the rest.
TEST(relay_server_limit, all_nodes_together_keep_it)
{
    limited_fleet limited(2, 2.0);
    limited.check_bound();
    limited.finish();
    CHECK_EQUAL(static_cast<int>(limited.sent()), limited.count(200));
}

// Guards against batch items that are cut and sent again at a limited replica.
TEST(relay_server_limit, batch_items_count_and_wait)
{
    limited_fleet limited(engine_count, 3.0);
    relay_fleet& fleet = limited.fleet;
    const time_point begin = net::event_loop::now();
    CHECK_EQUAL(202, fleet.submit(0, "job", 60).status);
    limited.play(learning_time + window);
    limited.finish();
    CHECK_COMPARE(limited.most_in_window(begin + learning_time), <=,
                  limited.allowed());
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(60, results.size());
    for (const auto& entry : results)
    {
        STRCMP_EQUAL("completed", entry["state"].get<std::string>().c_str());
    }
}

// Guards against callers that wait for what no replica will take.
TEST(relay_server_limit, the_excess_is_rejected_at_once)
{
    limited_fleet limited(engine_count, 2.0);
    limited.check_bound();
    limited.finish();
    CHECK(limited.count(200) > 0);
    CHECK(limited.count(503) > 0);
    CHECK_EQUAL(static_cast<int>(limited.sent()),
                limited.count(200) + limited.count(503));
    CHECK(limited.longest_rejection() <= rejection_time);
}

// Guards against a sum that is kept by one process only: the broker and the
// other nodes are killed one after the other and start again.
TEST(relay_server_limit, it_is_kept_while_nodes_restart)
{
    limited_fleet limited(2, 2.0);
    limited.check_bound(
        [&limited]
        {
            for (int node = 0; node < node_count; ++node)
            {
                limited.fleet.process(node).kill();
                limited.play(std::chrono::seconds(1), others(node));
                limited.fleet.start(node);
                limited.fleet.wait_ready(node);
                limited.play(std::chrono::seconds(1));
            }
        });
}

// Guards against two brokers at the same time, and against grants that a node
// uses late, when it wakes up.
TEST(relay_server_limit, it_is_kept_while_nodes_freeze)
{
    limited_fleet limited(2, 2.0);
    limited.check_bound(
        [&limited]
        {
            for (int node = 0; node < node_count; ++node)
            {
                limited.fleet.process(node).signal(SIGSTOP);
                limited.play(std::chrono::seconds(2), others(node));
                limited.fleet.process(node).signal(SIGCONT);
                limited.play(std::chrono::seconds(1));
            }
        });
}

// Guards against a node that takes itself for the whole group when it does not
// reach any other.
TEST(relay_server_limit, a_node_that_is_alone_takes_its_share)
{
    limited_fleet limited(2, 6.0);
    time_point alone_since;
    limited.check_bound(
        [&limited, &alone_since]
        {
            limited.fleet.process(1).signal(SIGSTOP);
            limited.fleet.process(2).signal(SIGSTOP);
            // The time in which failures are detected.
            limited.play(std::chrono::seconds(3), {0});
            alone_since = net::event_loop::now();
            limited.play(window, {0});
            const double share = limited.allowed() / node_count;
            CHECK_COMPARE(limited.most_in_window(alone_since), <=,
                          share + allowed_excess);
            limited.fleet.process(1).signal(SIGCONT);
            limited.fleet.process(2).signal(SIGCONT);
        });
}

// Guards against a sum that depends on the platform's store.
TEST(relay_server_limit, it_is_kept_without_the_store)
{
    limited_fleet limited(2, 2.0);
    limited.check_bound(
        [&limited]
        {
            for (int node = 0; node < node_count; ++node)
            {
                limited.fleet.store.set_refusing(
                    limited.fleet.store_address(node), true);
            }
        });
}

// Guards against keeping a limit that the replica no longer names.
TEST(relay_server_limit, it_ends_when_a_response_names_none)
{
    for (const char* value : {"2.0", "0"})
    {
        limited_fleet limited(2, 2.0);
        limited.name_limit(value);
        limited.play(learning_time);
        limited.engine(0).extra_headers.clear();
        limited.engine(1).extra_headers.clear();
        // Also a replica that takes nothing gets a request now and then.
        limited.play(std::chrono::seconds(8));
        const time_point since = net::event_loop::now();
        limited.play(window);
        CHECK_COMPARE(limited.most_in_window(since), >, limited.allowed());
    }
}

// Guards against limiting a new process for what the former one has said.
TEST(relay_server_limit, a_new_process_has_named_none)
{
    limited_fleet limited(1, 2.0);
    limited.play(learning_time);
    limited.engine(0).extra_headers.clear();
    limited.engine(0).restart();
    limited.fleet.store.put("servers/" + limited.engine(0).name(),
                            limited.engine(0).record("llm"));
    limited.play(std::chrono::seconds(1));
    const time_point since = net::event_loop::now();
    limited.play(window);
    CHECK_COMPARE(limited.most_in_window(since), >, limited.allowed());
}

// The same for a service that runs no models, and whose requests may be sent to
// replicas again.
TEST(relay_server_limit, plain_services_keep_it)
{
    limited_fleet limited(0, 2.0);
    replica_stand_in& web = *limited.fleet.web;
    web.extra_headers = {{"Server-Limit", "2.0"}};
    const time_point begin = net::event_loop::now();
    limited.play(learning_time + std::chrono::seconds(1), {0, 1, 2},
                 "/plain/a");
    limited.play(window, {0, 1, 2}, "/plain/a");
    limited.finish();
    CHECK_COMPARE(limited_fleet::most_in_window(web, begin + learning_time), <=,
                  limited.allowed());
    CHECK(limited.count(200) > 0);
    CHECK_EQUAL(static_cast<int>(limited.sent()),
                limited.count(200) + limited.count(503));
}

TEST(relay_server_limit, other_values_say_nothing)
{
    limited_fleet limited(1, 2.0);
    limited.name_limit("some");
    const time_point begin = net::event_loop::now();
    limited.play(learning_time + window);
    CHECK_COMPARE(limited.most_in_window(begin + learning_time), >,
                  limited.allowed());
}
