#include "http_pair.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

/// Requests that wear out as many connections as the client keeps for a target.
constexpr int many_requests = 64 * 256;

/// Answers each request on a connection with the next of some bytes.
class scripted_server
{
public:
    scripted_server(event_loop& event_loop, std::vector<std::string> answers)
        : loop(event_loop), script(std::move(answers))
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
    ~scripted_server()
    {
        for (const int link : this->links)
        {
            ::close(link);
        }
        ::close(this->listener);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Resets all connections.
    void reset()
    {
        for (const int link : this->links)
        {
            const linger abortive{1, 0};
            ::setsockopt(link, SOL_SOCKET, SO_LINGER, &abortive,
                         sizeof(abortive));
            ::close(link);
        }
        this->links.clear();
    }

    std::uint16_t port = 0;
    std::size_t answered = 0;

private:
    void serve()
    {
        const int accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted >= 0)
        {
            this->links.push_back(accepted);
        }
        for (const int link : this->links)
        {
            char buffer[2048];
            if (this->answered < this->script.size() &&
                ::recv(link, buffer, sizeof(buffer), 0) > 0)
            {
                const std::string& bytes = this->script[this->answered++];
                ::send(link, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            }
        }
    }

    event_loop& loop;
    std::vector<std::string> script;
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::vector<int> links;
    timer poll;
};

} // namespace

TEST_GROUP_BASE(kept_connections, http_pair){
    /// \returns The number of the connection that carried a request.
    std::uint64_t connection_of_request(){this->outcome.reset();
const auto call = this -> send(http_request());
this->wait();
return call->connection().connection;
}
}
;

// Guards against keeping connections that no request may use any more: they
// fill the room for idle ones, and each request opens a connection then.
TEST(kept_connections, connections_are_kept_after_many_identified_requests)
{
    this->server.set_handler([](const std::shared_ptr<http_exchange>& exchange)
                             { exchange->respond(200, {}, ""); });
    int sent = 0;
    std::uint64_t last_connection = 0;
    bool is_reused = false;
    std::unique_ptr<http_call> call;
    std::function<void()> send_next = [&]
    {
        http_request request;
        request.identity = std::to_string(sent++);
        http_client::callbacks hooks;
        hooks.on_end = [&](const result<http_response>& end)
        {
            CHECK(end.has_value());
            if (sent <= many_requests + 1)
            {
                this->loop.post([&send_next] { send_next(); });
            }
            else
            {
                this->outcome = end;
            }
        };
        call = this->client.send(this->address, request, hooks);
        const std::uint64_t used = call->connection().connection;
        is_reused = std::exchange(last_connection, used) == used;
    };
    send_next();
    const time_point limit = event_loop::now() + 4 * max_wait;
    while (!this->outcome && event_loop::now() < limit)
    {
        this->loop.run_for(std::chrono::milliseconds(20));
    }
    CHECK(this->outcome.has_value());
    CHECK(is_reused);
}

// Guards against keeping a connection with its request at work: the response
// would be taken for that of the next request.
TEST(kept_connections, an_interim_response_ends_no_request)
{
    scripted_server other(this->loop,
                          {"HTTP/1.1 103 Early Hints\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    this->address.port = other.port;
    const std::uint64_t first = this->connection_of_request();
    CHECK(this->outcome->has_error());
    CHECK(this->outcome->error().ran == ran_state::unknown);
    CHECK(this->connection_of_request() != first);
}

// Guards against sending a request on a connection that is about to close.
TEST(kept_connections, a_connection_that_will_close_is_not_kept)
{
    for (const char* head :
         {"HTTP/1.1 200 OK\r\nConnection: keep-alive, Close\r\n",
          "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nConnection:  close \r\n",
          "HTTP/1.0 200 OK\r\n"})
    {
        const std::string response =
            std::string(head) + "Content-Length: 0\r\n\r\n";
        scripted_server other(this->loop, {response, response});
        this->address.port = other.port;
        const std::uint64_t first = this->connection_of_request();
        CHECK(this->outcome->has_value());
        CHECK(this->connection_of_request() != first);
    }
}

// Guards against taking the part of a response that came before a reset for
// the whole, where only the end of the connection says that it is complete.
TEST(kept_connections, a_response_without_a_length_is_not_complete_when_reset)
{
    scripted_server other(this->loop,
                          {"HTTP/1.1 422 Unprocessable\r\n\r\nsome bytes"});
    this->address.port = other.port;
    const auto call = this->send(http_request());
    const time_point limit = event_loop::now() + max_wait;
    while (other.answered == 0 && event_loop::now() < limit)
    {
        this->loop.run_for(std::chrono::milliseconds(2));
    }
    other.reset();
    this->wait();
    CHECK(this->outcome->has_error());
}
