// What a node tells the brokers about replicas.

#include "logging/log.hpp"
#include "relay/slot_client.hpp"
#include "relay/slot_codec.hpp"
#include "slots/replica_pools.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr duration report_timeout = std::chrono::milliseconds(500);

} // namespace

void slot_client::report(const replica_report& report)
{
    const slot_pool pool{
        report.service,
        slots::pool_of(report.replica, this->pools_of(report.service).count)};
    const node_info& own = this->context.group.own();
    const node_info broker = this->broker_of(pool);
    if (broker.id == own.id)
    {
        this->server.handle_report(report);
    }
    else
    {
        this->send_report(broker, report);
    }
    if (!report.lost)
    {
        return;
    }
    const node_info next = this->brokers.successor(
        pool.name(), own, this->context.group.live_nodes(),
        net::event_loop::now());
    if (next.id != own.id)
    {
        replica_report loss = report;
        // The request is known to its broker only.
        loss.request = request_id();
        this->send_report(next, loss);
    }
}

void slot_client::send_report(const node_info& receiver,
                              const replica_report& report)
{
    const std::uint64_t number = this->next_number++;
    this->reports[number] = this->context.peers.call(
        receiver.peer, wire::message_type::slot_report,
        encode(report, net::event_loop::now()), report_timeout,
        {{},
         [this, number, replica = report.replica](result<std::string> outcome)
         {
             if (outcome.has_error())
             {
                 log_event(log_level::info, "replica_report_lost",
                           {{"replica", replica.str()},
                            {"reason", outcome.error().message}});
             }
             this->reports.erase(number);
         }});
}

void slot_client::report_failure(const request_id& request,
                                 const service_name& service,
                                 const routing::replica_entry& replica,
                                 attempt_outcome outcome, bool lost)
{
    if (outcome == attempt_outcome::not_run ||
        outcome == attempt_outcome::expired)
    {
        return;
    }
    const bool leaving = outcome == attempt_outcome::wrong_replica;
    const replica_process_id process = routing::process_of(replica);
    if (leaving)
    {
        this->context.replicas.mark_leaving(process, "refused_request");
    }
    else
    {
        this->context.link.handle_failure();
        if (this->context.link.is_suspect())
        {
            return;
        }
    }
    if (lost)
    {
        this->context.doubts.handle_lost(process);
    }
    this->report(replica_report{request, service, replica.id, process, leaving,
                                std::nullopt, lost});
}

void slot_client::report_leaving(const service_name& service,
                                 const routing::replica_entry& replica)
{
    const replica_process_id process = routing::process_of(replica);
    if (!this->context.replicas.mark_leaving(process, "its_response"))
    {
        return;
    }
    this->context.metrics.count("parsleytrack_replicas_leaving_total", {});
    this->report(replica_report{{}, service, replica.id, process, true});
}

void slot_client::report_limit(const service_name& service,
                               const routing::replica_entry& replica,
                               const routing::limit_observation& observation)
{
    const replica_process_id process = routing::process_of(replica);
    if (!this->context.replicas.observe_limit(process, observation,
                                              "its_response"))
    {
        return;
    }
    this->context.metrics.count("parsleytrack_replica_limits_total", {});
    this->report(replica_report{{},
                                service,
                                replica.id,
                                process,
                                false,
                                replica_limit{process, observation}});
}

std::optional<replica_limit>
slot_client::disregarded_limit(const slot_response& grant) const
{
    const auto own = this->context.replicas.limit_of(grant.replica);
    if (!own || !own->observation.limit)
    {
        return std::nullopt;
    }
    const bool is_regarded = grant.limit &&
                             grant.limit->process == own->process &&
                             grant.limit->observation.limit;
    return is_regarded ? std::nullopt : own;
}

void slot_client::return_grant(std::uint64_t number, const slot_response& grant,
                               const replica_limit& limit)
{
    open_request& state = this->requests.at(number);
    log_event(log_level::info, "slot_returned_for_limit",
              {{"request", state.request.request.str()},
               {"replica", limit.process.str()},
               {"broker", state.broker.str()}});
    this->report(replica_report{{},
                                state.request.pool.service,
                                grant.replica,
                                limit.process,
                                false,
                                limit});
    if (std::exchange(state.was_returned, true))
    {
        state.request.excluded.insert(grant.replica);
    }
    // This runs in a callback of the call.
    this->context.loop.free_later(std::move(state.call));
    this->open(number);
}

} // namespace parsleytrack::relay
