#pragma once

#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>

namespace parsleytrack::net
{

constexpr duration max_wait = std::chrono::seconds(5);

/// \returns A blocking socket that is connected to a server.
inline int connect_to(const endpoint& address)
{
    const int link = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(address.port);
    CHECK(::connect(link, reinterpret_cast<sockaddr*>(&target),
                    sizeof(target)) == 0);
    return link;
}

/// A client and a server on one loop.
struct http_pair : public Utest
{
    event_loop loop;
    http_server server{loop};
    http_client client{loop};
    endpoint address{"127.0.0.1", 0};
    std::optional<result<http_response>> outcome;

    void setup() override
    {
        this->address.port = this->server.listen(this->address).value();
    }

    std::unique_ptr<http_call> send(const http_request& request)
    {
        http_client::callbacks hooks;
        hooks.on_end = [this](result<http_response> end)
        {
            this->outcome = std::move(end);
        };
        return this->client.send(this->address, request, hooks);
    }

    void wait()
    {
        const time_point limit = event_loop::now() + max_wait;
        while (!this->outcome && event_loop::now() < limit)
        {
            this->loop.run_for(std::chrono::milliseconds(50));
        }
        CHECK(this->outcome.has_value());
    }
};

} // namespace parsleytrack::net
