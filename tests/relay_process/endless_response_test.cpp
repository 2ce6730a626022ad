#include "relay_support/expected_output.hpp"
#include "relay_support/raw_replica.hpp"
#include "relay_support/raw_request.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"
#include "relay_support/stored_job.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Half of the smallest limit of the deployments.
constexpr std::size_t max_node_bytes = 44 * 1024 * 1024;
constexpr int item_count = 16;

/// Checks that a node lets other replicas do the work of one whose responses
/// have no end, and does not keep what that one sends.
void check_items(raw_replica::fault fault)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "a-endless", fault);
    fleet.store.put("servers/" + faulty.name(), faulty.record("llm"));
    fleet.run_for(std::chrono::seconds(1));
    CHECK_EQUAL(202, fleet.submit(0, "job", item_count).status);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(item_count, results.size());
    for (const auto& entry : results)
    {
        STRCMP_EQUAL(expected_output().c_str(),
                     entry["output"].get<std::string>().c_str());
    }
    CHECK_FALSE(faulty.runs.empty());
    CHECK(fleet.process(0).peak_memory_bytes() < max_node_bytes);
}

/// The same for requests whose callers wait.
void check_requests(raw_replica::fault fault, const std::string& path,
                    const std::string& service)
{
    relay_fleet fleet(1);
    raw_replica faulty(fleet.loop, "a-endless", fault);
    fleet.store.put("servers/" + faulty.name(), faulty.record(service));
    int sent = 0;
    CHECK(fleet.wait(
        [&]
        {
            fleet.call(0, "POST", path, "id" + std::to_string(sent++));
            return !faulty.runs.empty() && sent > 10;
        }));
    CHECK(fleet.process(0).peak_memory_bytes() < max_node_bytes);
}

/// A node whose memory is smaller than the outputs of a job.
class node_of_large_outputs
{
public:
    static constexpr int job_items = 100;

    /// Submits a job of items that do not say how long their outputs are.
    void submit(const std::string& job)
    {
        this->fleet.item_headers = {{"Parsleytrack-Token-Usage", ""}};
        CHECK_EQUAL(202, this->fleet.submit(0, job, job_items).status);
    }

    /// Checks that the node has stayed within its memory.
    void check_memory()
    {
        const std::size_t peak = this->fleet.process(0).peak_memory_bytes();
        CHECK_TEXT(peak < memory_mb * mebibyte, std::to_string(peak).c_str());
    }

    relay_fleet fleet{
        relay_fleet_options{.engine_count = 0, .memory_mb = memory_mb}};

private:
    static constexpr int memory_mb = 64;
    static constexpr std::size_t mebibyte = 1024 * 1024;
};

constexpr std::size_t large_event_bytes = 100'000;
constexpr int large_events = 9;

/// \returns A response to an item that ends as it should.
scripted_replica::script large_response(const std::string& request)
{
    const std::string id = header_field(request, "Parsleytrack-Request-Id");
    std::string body;
    for (int event = 1; event <= large_events; ++event)
    {
        body += "id: " + std::to_string(event) +
                "\ndata: " + std::string(large_event_bytes, 'x') + "\n\n";
    }
    return {{{{},
              "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " + id +
                  "\r\nParsleytrack-Response-Seal: seal-" + id +
                  "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body}}};
}

} // namespace

TEST_GROUP(relay_endless_responses){};

// Guards against keeping the events without end that a replica sends for an
// item, until the process is killed for its memory.
TEST(relay_endless_responses, events_of_an_item_do_not_fill_the_memory)
{
    check_items(raw_replica::fault::endless_events);
}

TEST(relay_endless_responses, nor_do_other_parts_of_a_response_to_an_item)
{
    for (const auto fault :
         {raw_replica::fault::endless_event,
          raw_replica::fault::endless_comments,
          raw_replica::fault::endless_error,
          raw_replica::fault::endless_trailer,
          raw_replica::fault::endless_interim, raw_replica::fault::endless_head,
          raw_replica::fault::endless_chunk})
    {
        check_items(fault);
    }
}

TEST(relay_endless_responses, nor_do_responses_to_requests)
{
    for (const auto fault : {raw_replica::fault::endless_events,
                             raw_replica::fault::endless_comments,
                             raw_replica::fault::endless_error,
                             raw_replica::fault::endless_trailer,
                             raw_replica::fault::endless_interim})
    {
        check_requests(fault, "/stream/a", "llm");
        check_requests(fault, "/plain/a", "web");
    }
}

// Guards against ending a sound output that has as many events as its item may
// have tokens, or whose item does not say how many it may have.
TEST(relay_endless_responses, a_long_output_is_whole)
{
    constexpr int long_events = 400;
    for (const char* usage : {"20,400", ""})
    {
        relay_fleet fleet(relay_fleet_options{.engine_count = 1});
        fleet.engines.front()->event_count = long_events;
        fleet.item_headers = {{"Parsleytrack-Token-Usage", usage}};
        CHECK_EQUAL(202, fleet.submit(0, "job", 2).status);
        const auto results = fleet.results(0, "job");
        CHECK_EQUAL(2, results.size());
        for (const auto& entry : results)
        {
            STRCMP_EQUAL(expected_output(long_events).c_str(),
                         entry["output"].get<std::string>().c_str());
        }
    }
}

// Guards against sending requests again and again to a replica whose answers
// begin and run into their time limit.
TEST(relay_endless_responses, slow_bodies_cost_few_requests)
{
    constexpr int bursts = 25;
    constexpr int burst_size = 20;
    constexpr std::size_t sound_runs = 20;
    relay_fleet fleet(1);
    replica_stand_in second(fleet.loop, "i-second");
    fleet.store.put("servers/" + second.name(), second.record("web"));
    raw_replica faulty(fleet.loop, "a-slow",
                       raw_replica::fault::slow_endless_body);
    fleet.store.put("servers/" + faulty.name(), faulty.record("web"));
    std::vector<std::shared_ptr<relay_fleet::response>> responses;
    const auto send_burst = [&fleet, &responses]
    {
        for (int sent = 0; sent < burst_size; ++sent)
        {
            responses.push_back(std::make_shared<relay_fleet::response>());
            fleet.start_call(0, "POST", "/plain/a",
                             "r" + std::to_string(responses.size()), "",
                             responses.back());
        }
        fleet.run_for(std::chrono::seconds(1));
    };
    for (int burst = 0; burst < bursts; ++burst)
    {
        send_burst();
    }
    const auto has_ended = [](const auto& response)
    {
        return response->status >= 0;
    };
    CHECK(fleet.wait(
        [&responses, has_ended] {
            return std::all_of(responses.begin(), responses.end(), has_ended);
        }));
    CHECK_FALSE(faulty.runs.empty());
    const auto unserved = std::count_if(responses.begin(), responses.end(),
                                        [](const auto& response)
                                        { return response->status != 200; });
    constexpr int largest_share = 20;
    CHECK_TEXT(unserved * largest_share < bursts * burst_size,
               std::to_string(unserved).c_str());
    // It is used again once it is sound.
    faulty.set_fault(raw_replica::fault::none);
    const std::size_t runs_before = faulty.runs.size();
    const time_point begin = net::event_loop::now();
    while (faulty.runs.size() < runs_before + sound_runs &&
           net::event_loop::now() - begin < relay_fleet::wait_timeout)
    {
        send_burst();
    }
    CHECK(faulty.runs.size() >= runs_before + sound_runs);
}

// Guards against a node that holds the outputs of its jobs until it is killed
// for its memory: those that have ended are in the store.
TEST(relay_endless_responses, large_outputs_of_a_job_do_not_fill_the_memory)
{
    node_of_large_outputs node;
    relay_fleet& fleet = node.fleet;
    scripted_replica replica(fleet.loop, large_response);
    fleet.store.put("servers/i-llm", replica.record("llm"));
    node.submit("job");
    constexpr int half = node_of_large_outputs::job_items / 2;
    CHECK(fleet.wait([&replica] { return replica.started() >= half; }));
    node.check_memory();
    // The next process takes the job up with what has ended.
    fleet.process(0).kill();
    fleet.start(0);
    fleet.wait_ready(0);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(node_of_large_outputs::job_items, results.size());
    for (const auto& entry : results)
    {
        CHECK_EQUAL(large_events * (large_event_bytes + 1) - 1,
                    entry["output"].get_ref<const std::string&>().size());
    }
    node.check_memory();
}

// Guards against the same by many outputs without end at a time, each of which
// is within the limit of one output.
TEST(relay_endless_responses, nor_do_many_endless_outputs_at_once)
{
    constexpr int replica_count = 12;
    constexpr int job_count = 3;
    for (const auto fault : {raw_replica::fault::endless_event,
                             raw_replica::fault::endless_events})
    {
        node_of_large_outputs node;
        std::vector<std::unique_ptr<raw_replica>> replicas;
        for (int number = 0; number < replica_count; ++number)
        {
            const auto& added =
                replicas.emplace_back(std::make_unique<raw_replica>(
                    node.fleet.loop, "i-endless-" + std::to_string(number),
                    fault));
            node.fleet.store.put("servers/" + added->name(),
                                 added->record("llm"));
        }
        for (int number = 0; number < job_count; ++number)
        {
            node.submit("job" + std::to_string(number));
        }
        node.fleet.run_for(std::chrono::seconds(5));
        node.check_memory();
    }
}

// Guards against a node that loads all results of a job to erase them.
TEST(relay_endless_responses, nor_do_large_results_that_are_erased)
{
    node_of_large_outputs node;
    const job_id job("old");
    stored_job stored{job, node_of_large_outputs::job_items};
    stored.result_bytes = large_events * large_event_bytes;
    stored.age = std::chrono::hours(1);
    put(node.fleet.store, stored);
    CHECK(node.fleet.wait(
        [&node, &job] {
            return node.fleet.store.values(relay::job_state_key(job)).empty();
        }));
    CHECK(node.fleet.store.values(relay::job_output_prefix(job)).empty());
    node.check_memory();
}
