#include "relay/stream_origins.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Streams that a node remembers; several times those that it begins while one
/// lasts.
constexpr std::size_t max_streams = 20'000;
/// A replica takes longer to send the first event.
constexpr duration flush_delay = std::chrono::milliseconds(5);
constexpr duration notice_timeout = std::chrono::milliseconds(500);
constexpr duration inquiry_timeout = std::chrono::milliseconds(300);
constexpr duration resend_delay = std::chrono::seconds(1);

} // namespace

stream_origins::stream_origins(net::event_loop& event_loop,
                               wire::peer_network& network,
                               key_value::record_client& client,
                               const relay_adapter& protocol_adapter,
                               replica_follower& replica_list,
                               storage_directory& storage_nodes)
    : loop(event_loop), peers(network), store(client),
      adapter(protocol_adapter), replicas(replica_list), storage(storage_nodes),
      memory(max_streams)
{
    this->replicas.on_change([this] { this->handle_replica_change(); });
    // A node that has started knows nothing of the streams that go on.
    this->storage.on_start([this](const endpoint& node)
                           { this->send(node, this->shared_origins()); });
}

void stream_origins::record(const request_id& request,
                            const stream_origin& origin, duration keep,
                            bool has_alternatives)
{
    const time_point now = net::event_loop::now();
    const origin_memory::entry known{request, origin, now + keep};
    this->memory.record(known, now);
    if (has_alternatives)
    {
        this->shared_services.insert(origin.service);
    }
    if (!has_alternatives && !this->has_several_versions(origin.service))
    {
        return;
    }
    this->unsent.push_back(known);
    if (this->unsent.size() == 1)
    {
        this->flush_timer =
            this->loop.call_after(flush_delay, [this] { this->flush(); });
    }
}

std::optional<stream_origin>
stream_origins::find(const request_id& request) const
{
    return this->memory.find(request, net::event_loop::now());
}

origin_reply stream_origins::own_view(const origin_inquiry& inquiry) const
{
    return view_of(inquiry, this->memory, this->history,
                   net::event_loop::now());
}

std::vector<std::unique_ptr<wire::peer_call>>
stream_origins::ask(const origin_inquiry& inquiry,
                    const std::function<void(result<origin_reply>)>& callback)
{
    std::vector<std::unique_ptr<wire::peer_call>> asked;
    const std::string message = encode(inquiry);
    for (const auto& [key, address] : this->storage.nodes())
    {
        asked.push_back(
            this->peers.call(address, wire::message_type::stream_origin_inquiry,
                             message, inquiry_timeout,
                             {{},
                              [callback](const result<std::string>& reply)
                              {
                                  if (reply.has_error())
                                  {
                                      callback(reply.error());
                                      return;
                                  }
                                  callback(decode_origin_reply(reply.value()));
                              }}));
    }
    return asked;
}

void stream_origins::read_current(std::vector<service_name> services,
                                  origins_callback callback)
{
    this->waiting_readers.push_back(
        reader{std::move(services), std::move(callback)});
    if (!this->is_reading)
    {
        this->start_reading();
    }
}

void stream_origins::start_reading()
{
    this->is_reading = true;
    this->store.list(this->adapter.keys().replica_prefix,
                     key_value::read_freshness::latest,
                     [this, readers = std::exchange(this->waiting_readers, {})](
                         const result<key_value::record_listing>& listing)
                     {
                         this->is_reading = false;
                         if (!this->waiting_readers.empty())
                         {
                             this->start_reading();
                         }
                         this->finish_reading(readers, listing);
                     });
}

void stream_origins::finish_reading(
    const std::vector<reader>& readers,
    const result<key_value::record_listing>& listing)
{
    if (listing.has_error())
    {
        log_event(log_level::info, "versions_not_read",
                  {{"reason", listing.error().message}});
        for (const reader& waiting : readers)
        {
            waiting.callback(listing.error());
        }
        return;
    }
    std::set<std::pair<service_name, software_version>> listed;
    for (const key_value::stored_record& record : listing.value().records)
    {
        // The follower of the list logs entries that cannot be read.
        const auto entry =
            this->adapter.parse_replica(record.key, record.value);
        if (entry.has_value())
        {
            listed.emplace(entry.value().service, entry.value().version);
        }
    }
    for (const reader& waiting : readers)
    {
        std::vector<stream_origin> origins;
        for (const auto& [service, version] : listed)
        {
            if (std::find(waiting.services.begin(), waiting.services.end(),
                          service) != waiting.services.end())
            {
                origins.push_back(stream_origin{service, version});
            }
        }
        waiting.callback(std::move(origins));
    }
}

bool stream_origins::has_several_versions(const service_name& service) const
{
    return this->history
               .versions_since(service, net::event_loop::now() -
                                            routing::version_history::overlap)
               .size() > 1;
}

void stream_origins::handle_replica_change()
{
    const time_point now = net::event_loop::now();
    const auto& listed = this->replicas.registry().all();
    this->history.observe(listed, now);
    bool is_new = false;
    for (const auto& [id, entry] : listed)
    {
        if (!this->shared_services.contains(entry.service) &&
            this->has_several_versions(entry.service))
        {
            this->shared_services.insert(entry.service);
            is_new = true;
        }
    }
    std::erase_if(this->shared_services, [this](const service_name& service)
                  { return !this->has_several_versions(service); });
    if (!is_new)
    {
        return;
    }
    for (const auto& [key, address] : this->storage.nodes())
    {
        this->send(address, this->shared_origins());
    }
}

stream_origins::notice stream_origins::shared_origins() const
{
    notice shared = this->memory.all(net::event_loop::now());
    std::erase_if(
        shared, [this](const origin_memory::entry& known)
        { return !this->shared_services.contains(known.origin.service); });
    return shared;
}

void stream_origins::flush()
{
    const notice origins = std::exchange(this->unsent, {});
    for (const auto& [key, address] : this->storage.nodes())
    {
        if (!this->resend_timers.contains(address))
        {
            this->send(address, origins);
        }
    }
}

void stream_origins::send(const endpoint& node, const notice& origins)
{
    if (origins.empty())
    {
        return;
    }
    const std::uint64_t number = this->next_call++;
    this->calls[number] = this->peers.call(
        node, wire::message_type::stream_origin_notice,
        encode(origins, net::event_loop::now()), notice_timeout,
        {{},
         [this, number, node](const result<std::string>& outcome)
         {
             this->loop.free_later(std::move(this->calls[number]));
             this->calls.erase(number);
             if (outcome.has_value() || this->resend_timers.contains(node))
             {
                 return;
             }
             log_event(log_level::info, "stream_origins_not_sent",
                       {{"to", to_string(node)},
                        {"reason", outcome.error().message}});
             this->resend_timers[node] = this->loop.call_after(
                 resend_delay,
                 [this, node]
                 {
                     const net::timer ended =
                         std::move(this->resend_timers[node]);
                     this->resend_timers.erase(node);
                     this->send(node, this->shared_origins());
                 });
         }});
}

} // namespace parsleytrack::relay
