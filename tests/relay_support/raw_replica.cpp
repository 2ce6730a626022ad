#include "relay_support/raw_replica.hpp"

#include "relay_support/raw_request.hpp"
#include "relay_support/replica_record.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr duration trickle_interval = std::chrono::milliseconds(400);
constexpr duration slow_body_interval = std::chrono::milliseconds(100);
/// Rate of an endless response: a piece of about 64 KiB, 100 times a second.
constexpr duration piece_interval = std::chrono::milliseconds(10);
constexpr int lines_per_piece = 64;

std::string response_head(const std::string& request, const std::string& length)
{
    return "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " + request +
           "\r\nParsleytrack-Response-Seal: seal-" + request + "\r\n" + length +
           "\r\n\r\n";
}

std::string page_response(const std::string& request)
{
    const std::string body = "page of " + request;
    return response_head(request,
                         "Content-Length: " + std::to_string(body.size())) +
           body;
}

/// \returns The first events of a stream, as replica_stand_in sends them.
std::string events(int count)
{
    std::string text;
    for (int number = 1; number <= count; ++number)
    {
        text += "id: " + std::to_string(number) + "\ndata: t" +
                std::to_string(number) + "\n\n";
    }
    return text;
}

raw_replica* to_replica(void* argument)
{
    return static_cast<raw_replica*>(argument);
}

} // namespace

raw_replica::raw_replica(net::event_loop& event_loop, std::string replica_name,
                         fault chosen_fault)
    : loop(event_loop), id(std::move(replica_name)), behaviour(chosen_fault),
      listener(event_loop, [this](int descriptor) { this->accept(descriptor); })
{
}

raw_replica::~raw_replica()
{
    for (const auto& [link, text] : this->connections)
    {
        bufferevent_free(link);
    }
}

std::string raw_replica::record(const std::string& service) const
{
    return replica_record(service, this->listener.address());
}

void raw_replica::accept(int descriptor)
{
    bufferevent* link = bufferevent_socket_new(this->loop.base(), descriptor,
                                               BEV_OPT_CLOSE_ON_FREE);
    this->connections[link];
    bufferevent_setcb(
        link,
        [](bufferevent* from, void* argument)
        { to_replica(argument)->read(from); },
        [](bufferevent* to, void* argument)
        { to_replica(argument)->write_more(to); },
        [](bufferevent* from, short, void* argument)
        { to_replica(argument)->close(from); },
        this);
    bufferevent_enable(link, EV_READ | EV_WRITE);
}

void raw_replica::read(bufferevent* link)
{
    std::string& text = this->connections.at(link);
    evbuffer* input = bufferevent_get_input(link);
    const std::size_t length = evbuffer_get_length(input);
    text.append(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)),
                length);
    evbuffer_drain(input, length);
    if (const auto request = take_request(text))
    {
        const std::string name =
            header_field(*request, "Parsleytrack-Request-Id");
        ++this->runs[name];
        this->respond(link, name);
    }
}

void raw_replica::respond(bufferevent* link, const std::string& request)
{
    std::string bytes;
    switch (this->behaviour)
    {
    case fault::none:
        bytes = page_response(request);
        break;
    case fault::extra_response:
        bytes = page_response(request) + page_response(this->previous_request);
        this->previous_request = request;
        break;
    case fault::endless_event:
        bytes = response_head(request, "Connection: close") + "id: 1\ndata: ";
        break;
    case fault::endless_head:
        bytes = "HTTP/1.1 200 OK\r\nPadding: ";
        break;
    case fault::endless_chunk:
        bytes = response_head(request, "Transfer-Encoding: chunked") +
                "ffffffff\r\n";
        break;
    case fault::endless_events:
    case fault::endless_comments:
        bytes = response_head(request, "Content-Type: text/event-stream");
        break;
    case fault::endless_error:
        bytes = "HTTP/1.1 500 Internal Server Error\r\n"
                "Parsleytrack-Request-Id: " +
                request + "\r\nParsleytrack-Response-Seal: seal-" + request +
                "\r\n\r\n";
        break;
    case fault::endless_trailer:
        bytes = response_head(request, "Transfer-Encoding: chunked") + "0\r\n";
        break;
    case fault::endless_interim:
        break;
    case fault::trickle:
        bytes = response_head(request, "Connection: close") + "id: 1\ndata: ";
        this->repeat("x", trickle_interval);
        break;
    case fault::slow_endless_body:
        bytes = response_head(request, "Transfer-Encoding: chunked");
        this->repeat("1\r\nx\r\n", slow_body_interval);
        break;
    case fault::unframed_stream:
        bytes = response_head(request, "Connection: close") + events(12);
        this->ending.insert(link);
        break;
    case fault::unframed_broken_stream:
        bytes = response_head(request, "Connection: close") + events(3) +
                "id: 4\ndata: t";
        this->ending.insert(link);
        break;
    case fault::reset:
        const linger abortive{1, 0};
        ::setsockopt(bufferevent_getfd(link), SOL_SOCKET, SO_LINGER, &abortive,
                     sizeof(abortive));
        this->close(link);
        return;
    }
    bufferevent_write(link, bytes.data(), bytes.size());
    int first = 1;
    if (!this->next_piece(first).empty())
    {
        this->endless[link] = 1;
        this->send_pieces();
    }
}

void raw_replica::write_more(bufferevent* link)
{
    const bool is_endless = this->behaviour == fault::endless_event ||
                            this->behaviour == fault::endless_head ||
                            this->behaviour == fault::endless_chunk;
    if (this->ending.contains(link))
    {
        this->close(link);
        return;
    }
    if (is_endless && !this->runs.empty())
    {
        const std::string chunk(chunk_bytes, 'x');
        bufferevent_write(link, chunk.data(), chunk.size());
    }
}

void raw_replica::repeat(const std::string& bytes, duration interval)
{
    this->trickle_timer = this->loop.call_every(
        interval,
        [this, bytes]
        {
            for (const auto& [link, text] : this->connections)
            {
                bufferevent_write(link, bytes.data(), bytes.size());
            }
        });
}

void raw_replica::send_pieces()
{
    this->trickle_timer = this->loop.call_every(
        piece_interval,
        [this]
        {
            for (auto& [link, event] : this->endless)
            {
                const std::size_t unsent =
                    evbuffer_get_length(bufferevent_get_output(link));
                if (unsent < chunk_bytes)
                {
                    const std::string piece = this->next_piece(event);
                    bufferevent_write(link, piece.data(), piece.size());
                }
            }
        });
}

std::string raw_replica::next_piece(int& event) const
{
    const std::string filler(1000, 'x');
    std::string piece;
    for (int line = 0; line < lines_per_piece; ++line)
    {
        switch (this->behaviour)
        {
        case fault::endless_events:
            piece +=
                "id: " + std::to_string(event++) + "\ndata: " + filler + "\n\n";
            break;
        case fault::endless_comments:
            piece += ": " + filler + "\n\n";
            break;
        case fault::endless_error:
            piece += filler;
            break;
        case fault::endless_trailer:
            piece += "Field: " + filler + "\r\n";
            break;
        case fault::endless_interim:
            piece += "HTTP/1.1 100 Continue\r\nField: " + filler + "\r\n\r\n";
            break;
        default:
            break;
        }
    }
    return piece;
}

void raw_replica::close(bufferevent* link)
{
    this->endless.erase(link);
    this->connections.erase(link);
    this->ending.erase(link);
    bufferevent_free(link);
}

} // namespace parsleytrack::relay_support
