#pragma once

#include "net/event_loop.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::net
{

/// A server that responds soon after it has read a part of a request, and then
/// ends the connection in one of several ways.
class early_server
{
public:
    enum class ending
    {
        /// Stays open and reads the rest of the request.
        open,
        /// Stays open and reads nothing more.
        idle,
        closed,
        /// Sends nothing more, but does not close the connection.
        half_closed,
        /// Sends nothing more, and is closed right after that. Unread bytes
        /// cause a reset then, which follows an end in order.
        closed_in_steps,
        reset
    };
    struct behaviour
    {
        std::string response;
        ending end = ending::open;
        /// How much of the request is read before the response is sent.
        std::size_t read_before = 1;
    };

    early_server(event_loop& event_loop, behaviour chosen)
        : loop(event_loop), plan(std::move(chosen))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK(::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0);
        ::listen(this->listener, 8);
        socklen_t length = sizeof(address);
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                      &length);
        this->port = ntohs(address.sin_port);
        this->poll = this->loop.call_every(std::chrono::milliseconds(2),
                                           [this] { this->serve(); });
    }
    ~early_server()
    {
        for (const connection& link : this->links)
        {
            if (link.descriptor >= 0)
            {
                ::close(link.descriptor);
            }
        }
        ::close(this->listener);
    }
    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;

    /// \returns What has been read on a connection, by order of arrival.
    const std::string& received(std::size_t number) const
    {
        return this->links.at(number).received;
    }
    std::size_t connection_count() const { return this->links.size(); }

    std::uint16_t port = 0;

private:
    /// Time for the client's kernel to take what it can of the request.
    static constexpr duration pause = std::chrono::milliseconds(30);

    struct connection
    {
        int descriptor;
        std::string received;
        time_point answers_at = time_point::max();
        bool has_answered = false;
    };

    void serve()
    {
        const int accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted >= 0)
        {
            this->links.push_back({accepted, {}});
        }
        for (connection& link : this->links)
        {
            if (link.descriptor >= 0)
            {
                this->serve(link);
            }
        }
    }

    void serve(connection& link) const
    {
        if (link.has_answered)
        {
            if (this->plan.end == ending::open)
            {
                while (read_some(link))
                {
                }
            }
            return;
        }
        while (link.received.size() < this->plan.read_before && read_some(link))
        {
        }
        if (link.received.size() < this->plan.read_before)
        {
            return;
        }
        const time_point now = event_loop::now();
        link.answers_at = std::min(link.answers_at, now + pause);
        if (now >= link.answers_at)
        {
            link.has_answered = true;
            ::send(link.descriptor, this->plan.response.data(),
                   this->plan.response.size(), MSG_NOSIGNAL);
            this->end(link);
        }
    }

    void end(connection& link) const
    {
        if (this->plan.end == ending::half_closed ||
            this->plan.end == ending::closed_in_steps)
        {
            ::shutdown(link.descriptor, SHUT_WR);
        }
        if (this->plan.end == ending::reset)
        {
            const linger abortive{1, 0};
            ::setsockopt(link.descriptor, SOL_SOCKET, SO_LINGER, &abortive,
                         sizeof(abortive));
        }
        if (this->plan.end != ending::half_closed &&
            this->plan.end != ending::open && this->plan.end != ending::idle)
        {
            ::close(link.descriptor);
            link.descriptor = -1;
        }
    }

    static bool read_some(connection& link)
    {
        char buffer[4096];
        const ssize_t count =
            ::recv(link.descriptor, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            return false;
        }
        link.received.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    event_loop& loop;
    behaviour plan;
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::vector<connection> links;
    timer poll;
};

} // namespace parsleytrack::net
