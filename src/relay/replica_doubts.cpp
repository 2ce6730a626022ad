#include "relay/replica_doubts.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"

namespace parsleytrack::relay
{

void replica_doubts::handle_lost(const replica_process_id& process)
{
    const time_point now = net::event_loop::now();
    if (!this->lost.lost_at(process, now))
    {
        log_event(log_level::info, "replica_may_be_replaced",
                  {{"replica", process.str()}});
    }
    this->lost.record(process, now);
}

bool replica_doubts::may_be_replaced(
    const routing::replica_entry& replica) const
{
    const auto lost_at = this->lost.lost_at(routing::process_of(replica),
                                            net::event_loop::now());
    // A process that has ended leaves no connection from before open.
    return lost_at &&
           !this->http.has_idle_connection(replica.address, *lost_at);
}

std::set<replica_id> replica_doubts::doubtful(const service_name& service) const
{
    std::set<replica_id> found;
    if (this->lost.is_empty())
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

} // namespace parsleytrack::relay
