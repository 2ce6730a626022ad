#include "relay_support/crowded_node.hpp"
#include "relay_support/stored_job.hpp"

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <functional>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

const job_id job{"job"};
constexpr std::size_t result_count = 200;
/// All results together are a quarter of the node's memory, and one page of
/// them is a sixtieth.
constexpr std::size_t result_bytes = 90'000;
constexpr std::size_t body_bytes = 4'500;
constexpr std::size_t client_addresses = 8;

/// \param unfinished Number of items without a result.
void add_job(relay_fleet& fleet, std::size_t unfinished)
{
    put(fleet.store, {job, result_count, unfinished, result_bytes, body_bytes});
}

std::string results_target(std::size_t after)
{
    return "/v1/lots/job?after=" + std::to_string(after);
}

std::string body_target(std::size_t number)
{
    return "/v1/items/job?id=" + stored_item_id(number);
}

/// Callers that all read the same job at a node.
class reading_crowd
{
public:
    reading_crowd() { add_job(this->node.fleet(), 0); }

    /// \param options Of a fleet of two nodes, one of which runs the job.
    explicit reading_crowd(const relay_fleet_options& options)
        : node(crowd_limits::whole, options)
    {
        relay_fleet& fleet = this->node.fleet();
        add_job(fleet, 1);
        CHECK(fleet.wait(
            [this, &fleet]
            {
                this->owner = fleet.status(0)["jobs"].empty() ? 1 : 0;
                return !fleet.status(this->owner)["jobs"].empty();
            }));
        this->reader = 1 - this->owner;
        this->node.aim_at(fleet.front_address(this->reader), this->reader);
    }

    /// \param target_of The target of each caller's request, by its number.
    void add_each(const std::function<std::string(std::size_t)>& target_of)
    {
        this->node.address_count = client_addresses;
        for (std::size_t number = 0; number < crowd_limits::caller_count;
             ++number)
        {
            this->node.add(1, "GET " + target_of(number) +
                                  " HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }

    /// Checks that the node which runs the job stays within its memory.
    void check_owner()
    {
        const auto& process = this->node.fleet().process(this->owner);
        CHECK(process.peak_memory_bytes() <
              crowd_limits::memory_mb * crowd_limits::mebibyte);
    }

    /// Checks the node, and that another caller gets a result and a body
    /// without being refused.
    void check()
    {
        this->node.check(
            [this]
            {
                relay_fleet& fleet = this->node.fleet();
                const auto page = fleet.call(this->reader, "GET",
                                             results_target(result_count - 1));
                CHECK_EQUAL(200, page.status);
                CHECK_EQUAL(1,
                            nlohmann::json::parse(page.body)["results"].size());
                const auto body =
                    fleet.call(this->reader, "GET", body_target(0));
                CHECK_EQUAL(200, body.status);
                CHECK_EQUAL(body_bytes, body.body.size());
            });
    }

private:
    crowded_node node{crowd_limits::whole};
    int owner = 0;
    int reader = 0;
};

} // namespace

// Guards against a node that runs out of memory because each read of a job
// loads all that the store has of it, at any number of reads at a time.
TEST_GROUP(relay_crowd_reads){};

TEST(relay_crowd_reads, results_at_one_position)
{
    reading_crowd crowd;
    crowd.add_each([](std::size_t)
                   { return results_target(result_count - 2); });
    crowd.check();
}

TEST(relay_crowd_reads, results_at_many_positions)
{
    reading_crowd crowd;
    crowd.add_each(results_target);
    crowd.check();
}

TEST(relay_crowd_reads, bodies_of_many_items)
{
    reading_crowd crowd;
    crowd.add_each(body_target);
    crowd.check();
}

// The same for pages that the node that runs the job gives to another one.
TEST(relay_crowd_reads, results_of_a_job_that_another_node_runs)
{
    relay_fleet_options options = crowded_node::limited(false);
    options.node_count = 2;
    options.engine_count = 0;
    reading_crowd crowd(options);
    crowd.add_each(results_target);
    crowd.check();
    crowd.check_owner();
}
