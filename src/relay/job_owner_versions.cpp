// At which replicas an item may go on, by their services and software versions.

#include "logging/log.hpp"
#include "relay/job_owner.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace parsleytrack::relay
{

std::set<replica_id>
job_owner::avoided_replicas(std::size_t item, const service_name& service,
                            const std::set<replica_id>& usable)
{
    std::set<replica_id> avoided =
        this->doubtful_replicas(item, service, usable);
    // An item does not wait for a replica that is avoided for its doubtful
    // version.
    std::set<replica_id> possible;
    std::set_difference(usable.begin(), usable.end(), avoided.begin(),
                        avoided.end(), std::inserter(possible, possible.end()));
    avoided.merge(
        this->retries.avoided(item, possible, net::event_loop::now()));
    return avoided;
}

std::set<replica_id>
job_owner::doubtful_replicas(std::size_t item, const service_name& service,
                             const std::set<replica_id>& usable)
{
    const std::set<replica_id> doubtful =
        this->context.doubts.doubtful(service);
    const bool has_begun = this->progress.progress_of(item).last_event > 0;
    const bool has_other = std::any_of(usable.begin(), usable.end(),
                                       [&doubtful](const replica_id& replica)
                                       { return !doubtful.contains(replica); });
    return has_begun || has_other ? doubtful : std::set<replica_id>();
}

std::set<replica_id> job_owner::usable_replicas(std::size_t item,
                                                const service_name& service)
{
    std::set<replica_id> all;
    std::set<replica_id> same_version;
    const jobs::item_progress& known = this->progress.progress_of(item);
    for (const routing::replica_entry* replica :
         this->context.replicas.registry().usable(service))
    {
        all.insert(replica->id);
        if (replica->version == known.version)
        {
            same_version.insert(replica->id);
        }
    }
    if (known.last_event == 0)
    {
        return all;
    }
    if (known.service != service || (same_version.empty() && !all.empty()))
    {
        this->start_anew(item, known.version);
        return all;
    }
    return same_version;
}

void job_owner::start_anew(std::size_t item, const software_version& version)
{
    jobs::item_progress& known = this->progress.progress_of(item);
    log_event(log_level::info, "item_starts_anew",
              {{"job", this->owned.input().id.str()},
               {"item", this->owned.input().items[item].id},
               {"version", version.str()},
               {"after_event", known.last_event}});
    known.reset();
}

void job_owner::forget(std::size_t item)
{
    this->progress.erase(item);
    this->retries.erase(item);
    this->unconfirmed_sources.erase(item);
}

void job_owner::hold_unconfirmed(std::size_t item, const item_run& run)
{
    if (!run.has_unconfirmed_output())
    {
        return;
    }
    this->unconfirmed_sources.insert_or_assign(item, run.last_entry());
    this->retries.hold(item, run.confirmed_at());
}

void job_owner::confirm_version(std::size_t item)
{
    const auto source = this->unconfirmed_sources.extract(item);
    if (source.empty())
    {
        return;
    }
    const routing::replica_entry& used = source.mapped();
    const auto& listed = this->context.replicas.registry().all();
    const auto found = listed.find(used.id);
    // While the store is away, the list would not show a change.
    if (found == listed.end() || found->second.version != used.version ||
        found->second.service != used.service ||
        !this->context.store.is_reachable())
    {
        this->start_anew(item, used.version);
        return;
    }
    this->progress.progress_of(item).version = used.version;
}

} // namespace parsleytrack::relay
