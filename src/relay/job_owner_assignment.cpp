// What the configuration gives the items of a job, and how long they wait.

#include "logging/log.hpp"
#include "relay/job_owner.hpp"
#include "routing/service_choice.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// How long an item waits for a slot before this is logged, and how often.
constexpr duration waiting_log_interval = std::chrono::seconds(5);

} // namespace

const routing::route* job_owner::current_route() const
{
    const auto table = this->context.configuration.current();
    return table ? table->find_by_name(this->owned.input().route_name)
                 : nullptr;
}

configuration_version job_owner::newest_configuration() const
{
    const auto table = this->context.configuration.current();
    const configuration_version known = this->owned.newest_configuration();
    return table ? std::max(known, table->contents().version) : known;
}

item_assignment job_owner::assign(std::size_t item, const routing::route& route)
{
    const routing::replica_registry& replicas =
        this->context.replicas.registry();
    const jobs::item_progress& begun = this->progress.progress_of(item);
    const bool goes_on = begun.last_event > 0 &&
                         routing::keeps_service(route, begun.service, replicas);
    item_assignment given;
    given.service =
        goes_on ? begun.service : routing::first_service(route, replicas);
    given.priority = this->priority_on(route);
    given.run_target = route.run_target;
    given.configuration =
        this->context.configuration.current()->contents().version;
    return given;
}

int job_owner::priority_on(const routing::route& route) const
{
    const auto table = this->context.configuration.current();
    const workspaces::workspace* workspace =
        table->contents().workspaces.find(this->owned.input().workspace);
    return workspace == nullptr ? route.priority
                                : workspace->priority_or(route.priority);
}

bool job_owner::keeps_service(std::size_t item) const
{
    const routing::route* route = this->current_route();
    const auto run = this->runs.find(item);
    return route != nullptr && run != this->runs.end() &&
           routing::keeps_service(*route, run->second->assignment().service,
                                  this->context.replicas.registry());
}

bool job_owner::is_up_to_date(const item_run& run,
                              const routing::route& route) const
{
    const item_assignment& given = run.assignment();
    return given.priority == this->priority_on(route) &&
           given.run_target == route.run_target &&
           routing::keeps_service(route, given.service,
                                  this->context.replicas.registry());
}

void job_owner::review_waiting_runs()
{
    const routing::route* route = this->current_route();
    if (this->stopped || route == nullptr)
    {
        // start_items() gives up the items of a removed route.
        this->start_items();
        return;
    }
    std::vector<std::unique_ptr<item_run>> outdated;
    // From the last one, since an item that is returned runs next.
    for (auto entry = this->runs.end(); entry != this->runs.begin();)
    {
        --entry;
        auto& [item, run] = *entry;
        if (!run->is_waiting() || this->is_up_to_date(*run, *route))
        {
            continue;
        }
        log_event(log_level::info, "item_assigned_anew",
                  {{"job", this->owned.input().id.str()},
                   {"item", this->owned.input().items[item].id},
                   {"service", run->assignment().service.str()},
                   {"configuration", run->assignment().configuration.count()}});
        this->owned.return_item(item);
        outdated.push_back(std::move(run));
        entry = this->runs.erase(entry);
    }
    if (!outdated.empty())
    {
        // The slot of a run that is destroyed may go to one that is destroyed
        // next, which has no entry any more and so sends nothing.
        outdated.clear();
        this->start_items();
    }
}

void job_owner::log_waiting_runs()
{
    const time_point now = net::event_loop::now();
    std::size_t waiting = 0;
    const item_run* longest = nullptr;
    for (const auto& [item, run] : this->runs)
    {
        if (!run->is_waiting())
        {
            continue;
        }
        ++waiting;
        if (longest == nullptr || run->started_at() < longest->started_at())
        {
            longest = run.get();
        }
    }
    if (longest == nullptr ||
        now - longest->started_at() < waiting_log_interval ||
        now - this->waiting_logged_at < waiting_log_interval)
    {
        return;
    }
    this->waiting_logged_at = now;
    const item_assignment& given = longest->assignment();
    const auto usable = this->context.replicas.registry().usable(given.service);
    log_event(log_level::info, "items_waiting",
              {{"job", this->owned.input().id.str()},
               {"items", waiting},
               {"longest_ms", to_milliseconds(now - longest->started_at())},
               {"service", given.service.str()},
               {"configuration", given.configuration.count()},
               {"replicas", usable.size()}});
}

} // namespace parsleytrack::relay
