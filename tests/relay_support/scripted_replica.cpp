#include "relay_support/scripted_replica.hpp"

#include "relay_support/raw_request.hpp"
#include "relay_support/replica_record.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

scripted_replica* to_replica(void* argument)
{
    return static_cast<scripted_replica*>(argument);
}

} // namespace

scripted_replica::scripted_replica(net::event_loop& event_loop,
                                   script_source scripts, reading chosen)
    : loop(event_loop), make_script(std::move(scripts)), extent(chosen),
      listener(event_loop, [this](int descriptor) { this->accept(descriptor); })
{
}

scripted_replica::~scripted_replica()
{
    for (const auto& [link, state] : this->connections)
    {
        bufferevent_free(link);
    }
}

std::string scripted_replica::record(const std::string& service) const
{
    return replica_record(service, this->listener.address());
}

void scripted_replica::accept(int descriptor)
{
    bufferevent* link = bufferevent_socket_new(this->loop.base(), descriptor,
                                               BEV_OPT_CLOSE_ON_FREE);
    this->connections[link];
    bufferevent_setcb(
        link,
        [](bufferevent* from, void* argument)
        { to_replica(argument)->read(from); },
        [](bufferevent* to, void* argument)
        { to_replica(argument)->handle_written(to); },
        [](bufferevent* from, short, void* argument)
        { to_replica(argument)->close(from); },
        this);
    bufferevent_enable(link, EV_READ | EV_WRITE);
}

void scripted_replica::read(bufferevent* link)
{
    connection& state = this->connections.at(link);
    evbuffer* input = bufferevent_get_input(link);
    const std::size_t length = evbuffer_get_length(input);
    state.received.append(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length);
    evbuffer_drain(input, length);
    const auto request = state.is_busy ? std::nullopt : this->take(state);
    if (!request)
    {
        return;
    }
    if (this->extent == reading::head)
    {
        bufferevent_disable(link, EV_READ);
    }
    ++this->scripts_started;
    state.current = this->make_script(*request);
    state.next_step = 0;
    state.is_busy = true;
    this->go_on(link);
}

std::optional<std::string> scripted_replica::take(connection& state) const
{
    if (this->extent == reading::request)
    {
        return take_request(state.received);
    }
    return state.received.find("\r\n\r\n") == std::string::npos
               ? std::nullopt
               : std::optional(state.received);
}

void scripted_replica::go_on(bufferevent* link)
{
    connection& state = this->connections.at(link);
    if (state.next_step == state.current.steps.size())
    {
        if (evbuffer_get_length(bufferevent_get_output(link)) == 0)
        {
            this->finish(link);
        }
        return;
    }
    state.step_timer = this->loop.call_after(
        state.current.steps[state.next_step].pause,
        [this, link]
        {
            connection& writing = this->connections.at(link);
            const step& due = writing.current.steps[writing.next_step++];
            bufferevent_write(link, due.bytes.data(), due.bytes.size());
            this->go_on(link);
        });
}

void scripted_replica::handle_written(bufferevent* link)
{
    connection& state = this->connections.at(link);
    if (state.is_busy && state.next_step == state.current.steps.size())
    {
        this->finish(link);
    }
}

void scripted_replica::finish(bufferevent* link)
{
    connection& state = this->connections.at(link);
    if (state.current.end == ending::half_closed)
    {
        ::shutdown(bufferevent_getfd(link), SHUT_WR);
        return;
    }
    state.is_busy = false;
    if (state.current.end == ending::open)
    {
        return;
    }
    if (state.current.end == ending::reset)
    {
        const linger abortive{1, 0};
        ::setsockopt(bufferevent_getfd(link), SOL_SOCKET, SO_LINGER, &abortive,
                     sizeof(abortive));
    }
    this->close(link);
}

void scripted_replica::close(bufferevent* link)
{
    this->connections.erase(link);
    bufferevent_free(link);
}

} // namespace parsleytrack::relay_support
