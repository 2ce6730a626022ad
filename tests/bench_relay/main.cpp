#include "relay_support/relay_fleet.hpp"
#include "relay_support/replica_record.hpp"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int rounds = 150;
/// As many as the engines have slots.
constexpr int at_once = 12;
constexpr int few_events = 10;
constexpr int many_events = 110;
constexpr int job_count = 12;
constexpr int items_per_job = 60;

/// A fleet whose only engine is a node of another fleet, so that each request
/// passes through two nodes.
void chain(relay_fleet& outer, const relay_fleet& inner)
{
    for (const auto& engine : outer.engines)
    {
        outer.store.erase("servers/" + engine->name());
    }
    outer.store.put(
        "servers/" + outer.engines[0]->name(),
        replica_record("llm", inner.front_address(0), "ready", at_once));
}

void set_events(relay_fleet& fleet, int count)
{
    for (const auto& engine : fleet.engines)
    {
        engine->event_count = count;
        engine->event_interval = std::chrono::milliseconds(1);
    }
}

/// Sends requests of one kind, some at the same time.
///
/// \param driver The fleet whose loop runs and whose node is asked.
/// \param measured All nodes that work for it.
/// \returns Processor time of the nodes per request, in microseconds.
double cost(relay_fleet& driver, const std::vector<relay_fleet*>& measured,
            const std::string& path)
{
    static int next_id = 0;
    const auto used = [&measured]
    {
        duration total = duration::zero();
        for (relay_fleet* fleet : measured)
        {
            total += fleet->process(0).processor_time();
        }
        return total;
    };
    const duration before = used();
    int served = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::shared_ptr<relay_fleet::response>> responses;
        for (int count = 0; count < at_once; ++count)
        {
            responses.push_back(std::make_shared<relay_fleet::response>());
            driver.start_call(0, "POST", path, "m" + std::to_string(next_id++),
                              "body", responses.back());
        }
        for (const auto& response : responses)
        {
            while (response->status < 0)
            {
                for (relay_fleet* fleet : measured)
                {
                    fleet->loop.run_for(std::chrono::milliseconds(0));
                }
            }
            served += response->status == 200 ? 1 : 0;
        }
    }
    if (served != rounds * at_once)
    {
        std::cout << "only " << served << " of " << rounds * at_once
                  << " served\n";
    }
    return static_cast<double>((used() - before).count()) / (rounds * at_once);
}

void measure_items()
{
    relay_fleet fleet(1);
    set_events(fleet, few_events);
    const duration before = fleet.process(0).processor_time();
    for (int job = 0; job < job_count; ++job)
    {
        fleet.submit(0, "job" + std::to_string(job), items_per_job);
    }
    for (int job = 0; job < job_count; ++job)
    {
        fleet.results(0, "job" + std::to_string(job));
    }
    const duration used = fleet.process(0).processor_time() - before;
    std::cout << "batch item of " << few_events << " events, with its job: "
              << used.count() / (job_count * items_per_job) << " us\n";
}

void measure_requests(const char* title, relay_fleet& driver,
                      const std::vector<relay_fleet*>& measured,
                      relay_fleet& engines)
{
    set_events(engines, few_events);
    const double few = cost(driver, measured, "/stream/a");
    set_events(engines, many_events);
    const double many = cost(driver, measured, "/stream/a");
    const double event = (many - few) / (many_events - few_events);
    std::cout << title << ": streamed event " << event << " us, request "
              << few - event * few_events << " us beside its events\n";
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    {
        relay_fleet fleet(1);
        measure_requests("one hop", fleet, {&fleet}, fleet);
        std::cout << "plain request, one hop: "
                  << cost(fleet, {&fleet}, "/plain/a") << " us\n";
    }
    {
        relay_fleet inner(1);
        relay_fleet outer(1);
        chain(outer, inner);
        const time_point until =
            net::event_loop::now() + std::chrono::seconds(2);
        while (net::event_loop::now() < until)
        {
            outer.loop.run_for(std::chrono::milliseconds(5));
            inner.loop.run_for(std::chrono::milliseconds(5));
        }
        measure_requests("two hops", outer, {&outer, &inner}, inner);
    }
    measure_items();
    return 0;
}
