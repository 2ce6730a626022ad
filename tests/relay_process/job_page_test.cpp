#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 3;
constexpr int item_count = 12;

/// A job whose owner stands still while another node takes the job over and
/// completes it; its results have been read.
class replaced_owner
{
public:
    replaced_owner()
    {
        this->remove_replicas();
        CHECK_EQUAL(202, this->fleet.submit(0, "job", item_count).status);
        CHECK(this->fleet.wait([this] { return this->find_owner(); }));
        this->fleet.process(this->owner).signal(SIGSTOP);
        this->add_replicas();
        const auto results = this->fleet.results(this->other(), "job");
        CHECK_EQUAL(item_count, results.size());
        this->remove_replicas();
    }

    int other() const { return (this->owner + 1) % node_count; }

    void wake() { this->fleet.process(this->owner).signal(SIGCONT); }

    /// \returns Whether the results are missing from a page that a node gives.
    bool lacks_results(int node)
    {
        const auto page = this->fleet.call(node, "GET", "/v1/lots/job?after=0");
        return page.status == 404 ||
               (page.status == 200 &&
                nlohmann::json::parse(page.body)["results"].empty());
    }

    relay_fleet fleet{node_count};
    int owner = -1;

private:
    /// Without replicas no item starts, so that nothing tells the former owner
    /// that it was replaced.
    void remove_replicas()
    {
        for (const auto& engine : this->fleet.engines)
        {
            this->fleet.store.erase("servers/" + engine->name());
        }
        this->fleet.run_for(std::chrono::seconds(1));
    }

    void add_replicas()
    {
        for (const auto& engine : this->fleet.engines)
        {
            this->fleet.store.put("servers/" + engine->name(),
                                  engine->record("llm"));
        }
    }

    bool find_owner()
    {
        for (int node = 0; node < node_count; ++node)
        {
            const auto jobs = this->fleet.status(node)["jobs"];
            this->owner = jobs.empty() ? this->owner : node;
        }
        return this->owner >= 0;
    }
};

} // namespace

TEST_GROUP(relay_job_page){};

// Guards against an empty page from a former owner that does not know yet that
// it was replaced, though results had been read elsewhere.
TEST(relay_job_page, a_former_owner_does_not_deny_results)
{
    replaced_owner replaced;
    replaced.wake();
    for (int read = 0; read < 6; ++read)
    {
        CHECK_FALSE(replaced.lacks_results(replaced.owner));
        CHECK_FALSE(replaced.lacks_results(replaced.other()));
    }
}

// The same while the store does not answer the former owner: an error that says
// so is true, an empty page is not.
TEST(relay_job_page, nor_while_it_does_not_reach_the_store)
{
    replaced_owner replaced;
    replaced.fleet.store.set_refusing(
        replaced.fleet.store_address(replaced.owner), true);
    replaced.wake();
    for (int read = 0; read < 6; ++read)
    {
        CHECK_FALSE(replaced.lacks_results(replaced.owner));
        CHECK_FALSE(replaced.lacks_results(replaced.other()));
    }
}

// The same while single reads of the former owner get no answer.
TEST(relay_job_page, nor_while_its_reads_get_no_answer)
{
    replaced_owner replaced;
    replaced.fleet.store.hold_reads_of(
        replaced.fleet.store_address(replaced.owner), true);
    replaced.wake();
    for (int read = 0; read < 6; ++read)
    {
        CHECK_FALSE(replaced.lacks_results(replaced.owner));
    }
}

// Guards against callers that wait without end, or are refused, while a job has
// no results yet.
TEST(relay_job_page, a_job_without_results_gives_an_empty_page)
{
    relay_fleet fleet(node_count);
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", item_count).status);
    for (int read = 0; read < 9; ++read)
    {
        const auto page =
            fleet.call(read % node_count, "GET", "/v1/lots/job?after=0");
        CHECK_EQUAL(200, page.status);
        CHECK(nlohmann::json::parse(page.body)["results"].empty());
    }
}

// Guards against giving a job up, with what runs of it, when a page is read
// while the outcome of its owner's commit is not known.
TEST(relay_job_page, a_commit_of_unknown_outcome_costs_no_ownership)
{
    relay_fleet fleet(2);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(100);
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 40).status);
    fleet.run_for(std::chrono::milliseconds(500));
    fleet.store.lost_responses = 3;
    const auto first = fleet.results(0, "job");
    CHECK_EQUAL(40, first.size());
    const auto again = fleet.results(1, "job");
    CHECK(first == again);
    CHECK_EQUAL(0, fleet.store.lost_responses);
    for (int node = 0; node < 2; ++node)
    {
        CHECK(fleet.process(node).output().find("event=job_lost") ==
              std::string::npos);
    }
}
