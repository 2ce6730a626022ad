#include "relay/replica_doubts.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"

namespace parsleytrack::relay
{

void replica_doubts::handle_lost(const replica_process_id& process)
{
    if (!this->lost_at(process))
    {
        log_event(log_level::info, "replica_may_be_replaced",
                  {{"replica", process.str()}});
    }
    this->lost.record(process, net::event_loop::now());
}

std::optional<time_point>
replica_doubts::lost_at(const replica_process_id& process) const
{
    return this->lost.lost_at(process, net::event_loop::now(),
                              this->replicas.registry().all().size());
}

bool replica_doubts::may_be_replaced(
    const routing::replica_entry& replica) const
{
    const auto lost_at = this->lost_at(routing::process_of(replica));
    // A process that has ended leaves no connection from before open.
    return lost_at &&
           !this->http.has_idle_connection(replica.address, *lost_at);
}

bool replica_doubts::has_any() const
{
    return this->lost.has_recent(net::event_loop::now());
}

std::set<replica_id>
replica_doubts::doubtful(const std::vector<replica_id>& listed_ids) const
{
    std::set<replica_id> found;
    if (!this->has_any())
    {
        return found;
    }
    for (const replica_id& id : listed_ids)
    {
        const routing::replica_entry* replica =
            this->replicas.registry().find_usable(id);
        if (replica != nullptr && this->may_be_replaced(*replica))
        {
            found.insert(id);
        }
    }
    return found;
}

std::set<replica_id> replica_doubts::doubtful(const service_name& service) const
{
    std::set<replica_id> found;
    if (!this->has_any())
    {
        return found;
    }
    for (const routing::replica_entry* replica :
         this->replicas.registry().usable(service))
    {
        if (this->may_be_replaced(*replica))
        {
            found.insert(replica->id);
        }
    }
    return found;
}

const routing::replica_entry*
replica_doubts::replacement_of(const routing::replica_entry& used,
                               time_point sent_at) const
{
    if (net::event_loop::now() - sent_at > routing::lost_processes::list_delay)
    {
        return nullptr;
    }
    const auto& listed = this->replicas.registry().all();
    const auto found = listed.find(used.id);
    const bool is_replaced =
        found != listed.end() &&
        routing::process_of(found->second) != routing::process_of(used);
    return is_replaced ? &found->second : nullptr;
}

} // namespace parsleytrack::relay
