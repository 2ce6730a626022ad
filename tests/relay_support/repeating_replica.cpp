#include "relay_support/repeating_replica.hpp"

#include "relay_support/raw_request.hpp"
#include "relay_support/replica_record.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

repeating_replica* to_replica(void* argument)
{
    return static_cast<repeating_replica*>(argument);
}

} // namespace

repeating_replica::repeating_replica(net::event_loop& event_loop,
                                     reply_source replies)
    : loop(event_loop), make_reply(std::move(replies)),
      listener(event_loop, [this](int descriptor) { this->accept(descriptor); })
{
}

repeating_replica::~repeating_replica()
{
    for (const auto& [link, state] : this->connections)
    {
        bufferevent_free(link);
    }
}

std::string repeating_replica::record(const std::string& service) const
{
    return replica_record(service, this->listener.address());
}

std::string repeating_replica::response(const std::string& status,
                                        const std::string& request,
                                        const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nParsleytrack-Request-Id: " + request +
           "\r\nParsleytrack-Response-Seal: seal-" + request +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string repeating_replica::refusal(const std::string& request)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" +
           (request.empty() ? ""
                            : "Parsleytrack-Request-Id: " + request + "\r\n") +
           "Parsleytrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void repeating_replica::accept(int descriptor)
{
    bufferevent* link = bufferevent_socket_new(this->loop.base(), descriptor,
                                               BEV_OPT_CLOSE_ON_FREE);
    this->connections[link];
    bufferevent_setcb(
        link,
        [](bufferevent* from, void* argument)
        { to_replica(argument)->read(from); },
        nullptr,
        [](bufferevent* from, short, void* argument)
        { to_replica(argument)->close(from); },
        this);
    bufferevent_enable(link, EV_READ | EV_WRITE);
}

void repeating_replica::read(bufferevent* link)
{
    connection& state = this->connections.at(link);
    evbuffer* input = bufferevent_get_input(link);
    const std::size_t length = evbuffer_get_length(input);
    state.received.append(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length);
    evbuffer_drain(input, length);
    this->serve(link);
}

void repeating_replica::serve(bufferevent* link)
{
    connection& state = this->connections.at(link);
    const auto request =
        state.is_busy ? std::nullopt : take_request(state.received);
    if (!request)
    {
        return;
    }
    const std::string name = header_field(*request, "Parsleytrack-Request-Id");
    if (!state.last_response.empty())
    {
        bufferevent_write(link, state.last_response.data(),
                          state.last_response.size());
    }
    const reply chosen = this->make_reply(name, ++this->arrivals[name]);
    if (chosen.runs)
    {
        ++this->runs[name];
    }
    state.is_busy = true;
    state.last_response = chosen.bytes;
    state.response_timer = this->loop.call_after(
        chosen.run_time,
        [this, link]
        {
            connection& answered = this->connections.at(link);
            answered.is_busy = false;
            bufferevent_write(link, answered.last_response.data(),
                              answered.last_response.size());
            this->serve(link);
        });
}

std::size_t repeating_replica::busy_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](const auto& entry) { return entry.second.is_busy; }));
}

void repeating_replica::close(bufferevent* link)
{
    this->connections.erase(link);
    bufferevent_free(link);
}

} // namespace parsleytrack::relay_support
