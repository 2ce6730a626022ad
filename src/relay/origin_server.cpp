#include "relay/origin_server.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"
#include "relay/origin_messages.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// About 20 MB; several times the streams of a large fleet while one lasts.
constexpr std::size_t max_streams = 100'000;

} // namespace

origin_server::origin_server(wire::peer_network& network) : memory(max_streams)
{
    network.on_call(wire::message_type::stream_origin_notice,
                    [this](const std::shared_ptr<wire::peer_exchange>& exchange)
                    { this->handle_notice(exchange); });
    network.on_call(wire::message_type::stream_origin_inquiry,
                    [this](const std::shared_ptr<wire::peer_exchange>& exchange)
                    { this->handle_inquiry(exchange); });
}

void origin_server::observe(
    const std::map<replica_id, routing::replica_entry>& listed)
{
    this->history.observe(listed, net::event_loop::now());
}

void origin_server::handle_notice(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const time_point now = net::event_loop::now();
    const auto notice = decode_origin_notice(exchange->request(), now);
    if (notice.has_error())
    {
        log_event(log_level::warning, "stream_origins_refused",
                  {{"reason", notice.error().message}});
        exchange->fail(notice.error());
        return;
    }
    for (const origin_memory::entry& known : notice.value())
    {
        this->memory.record(known, now);
    }
    exchange->finish({});
}

void origin_server::handle_inquiry(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    if (this->is_restored)
    {
        this->answer(*exchange);
        return;
    }
    this->waiting.push_back(exchange);
}

void origin_server::restore(std::optional<routing::service_versions> versions)
{
    this->earlier = std::move(versions);
    this->is_restored = true;
    this->restored_at = net::event_loop::now();
    for (const auto& exchange : std::exchange(this->waiting, {}))
    {
        this->answer(*exchange);
    }
}

routing::service_versions origin_server::recent_versions() const
{
    const time_point now = net::event_loop::now();
    auto recent =
        this->history.all_since(now - routing::version_history::overlap);
    if (this->earlier &&
        now < this->restored_at + routing::version_history::overlap)
    {
        for (const auto& [service, versions] : *this->earlier)
        {
            recent[service].insert(versions.begin(), versions.end());
        }
    }
    return recent;
}

void origin_server::answer(wire::peer_exchange& exchange)
{
    const auto inquiry = decode_origin_inquiry(exchange.request());
    if (inquiry.has_error())
    {
        log_event(log_level::warning, "stream_inquiry_refused",
                  {{"reason", inquiry.error().message}});
        exchange.fail(inquiry.error());
        return;
    }
    const time_point now = net::event_loop::now();
    origin_reply reply =
        view_of(inquiry.value(), this->memory, this->history, now);
    // Nothing began while no node ran, so that what was in use before counts
    // from the start on.
    if (!reply.has_observed && this->earlier)
    {
        reply.remembers = true;
        for (const service_name& service : inquiry.value().services)
        {
            for (const software_version& version : (*this->earlier)[service])
            {
                reply.candidates.push_back(stream_origin{service, version});
            }
        }
    }
    exchange.finish(encode(reply));
}

} // namespace parsleytrack::relay
