#include "http_pair.hpp"

#include <fcntl.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

constexpr std::size_t max_body = 100'000;
constexpr duration tick = std::chrono::milliseconds(10);

/// A caller's connection over which arbitrary bytes can be sent.
class raw_link
{
public:
    raw_link(event_loop& event_loop, const endpoint& server)
        : loop(event_loop), descriptor(connect_to(server))
    {
        ::fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
    }
    ~raw_link() { ::close(this->descriptor); }
    raw_link(const raw_link&) = delete;
    raw_link& operator=(const raw_link&) = delete;

    /// Sends until everything is sent or the server has closed the connection.
    void send(const std::string& text)
    {
        std::size_t sent = 0;
        const time_point limit = event_loop::now() + max_wait;
        while (sent < text.size() && !this->ended && event_loop::now() < limit)
        {
            const ssize_t length = ::send(this->descriptor, text.data() + sent,
                                          text.size() - sent, MSG_NOSIGNAL);
            sent += length > 0 ? static_cast<std::size_t>(length) : 0;
            this->ended = length < 0 && errno != EAGAIN;
            this->read();
        }
    }

    /// Reads until the server has closed the connection or the wait times out.
    std::string read_to_end()
    {
        const time_point limit = event_loop::now() + max_wait;
        while (!this->ended && event_loop::now() < limit)
        {
            this->read();
        }
        CHECK(this->ended);
        return this->received;
    }

    /// Reads until a text has been received or the wait times out.
    bool read_until(const std::string& wanted)
    {
        const time_point limit = event_loop::now() + max_wait;
        while (this->received.find(wanted) == std::string::npos &&
               !this->ended && event_loop::now() < limit)
        {
            this->read();
        }
        return this->received.find(wanted) != std::string::npos;
    }

private:
    void read()
    {
        this->loop.run_for(std::chrono::milliseconds(1));
        char buffer[4096];
        const ssize_t length =
            ::recv(this->descriptor, buffer, sizeof(buffer), 0);
        if (length > 0)
        {
            this->received.append(buffer, static_cast<std::size_t>(length));
        }
        this->ended = this->ended || length == 0 ||
                      (length < 0 && errno != EAGAIN && errno != EINTR);
    }

    event_loop& loop;
    int descriptor;
    bool ended = false;
    std::string received;
};

std::string declared(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:  " +
           std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

TEST_GROUP_BASE(server_limits, http_pair)
{
    std::vector<std::string> refusals;
    std::size_t served = 0;

    void setup() override
    {
        this->http_pair::setup();
        connection_limits limits;
        limits.max_body = byte_count(max_body);
        this->server.set_limits(limits);
        this->server.on_refusal(
            [this](caller_refusal reason)
            { this->refusals.emplace_back(to_string(reason)); });
        this->server.set_handler(
            [this](const std::shared_ptr<http_exchange>& exchange)
            {
                exchange->on_body(max_body,
                                  [this, exchange](const std::string& body)
                                  {
                                      ++this->served;
                                      exchange->respond(
                                          200, {}, std::to_string(body.size()));
                                  });
            });
    }

    /// Waits until the server has read a request's head.
    void wait_for_request()
    {
        const time_point limit = event_loop::now() + max_wait;
        while (this->server.open_requests() == 0 && event_loop::now() < limit)
        {
            this->loop.run_for(tick);
        }
        CHECK_EQUAL(1, this->server.open_requests());
    }

    void check_refused(const std::string& answer, const std::string& status,
                       const std::string& reason)
    {
        STRCMP_CONTAINS(("HTTP/1.1 " + status).c_str(), answer.c_str());
        STRCMP_CONTAINS("Connection: close", answer.c_str());
        STRCMP_CONTAINS(R"("ran":"no")", answer.c_str());
        CHECK_EQUAL(1, this->refusals.size());
        STRCMP_EQUAL(reason.c_str(), this->refusals.front().c_str());
        CHECK_EQUAL(0, this->served);
    }
};

TEST(server_limits, a_body_of_exactly_the_limit_is_served)
{
    raw_link caller(this->loop, this->address);
    caller.send(declared(max_body) + std::string(max_body, 'x'));
    CHECK(caller.read_until("\r\n\r\n" + std::to_string(max_body)));
    CHECK(this->refusals.empty());
}

// Guards against a server that reads a body only to refuse it.
TEST(server_limits, a_declared_body_over_the_limit_is_refused_before_it_comes)
{
    raw_link caller(this->loop, this->address);
    caller.send(declared(max_body + 1));
    this->check_refused(caller.read_to_end(), "413 ", "body_too_large");
}

TEST(server_limits, a_length_out_of_range_is_refused)
{
    raw_link caller(this->loop, this->address);
    caller.send("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: "
                "99999999999999999999999\r\n\r\n");
    this->check_refused(caller.read_to_end(), "413 ", "body_too_large");
}

// Guards against a body without a length that is collected without end.
TEST(server_limits, chunks_over_the_limit_are_refused_in_transit)
{
    raw_link caller(this->loop, this->address);
    caller.send(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" +
        std::string(max_body + 1, 'x'));
    this->check_refused(caller.read_to_end(), "413 ", "body_too_large");
}

// Guards against a caller that goes on sending after it was refused.
TEST(server_limits, the_rest_of_a_refused_body_is_not_read_without_end)
{
    raw_link caller(this->loop, this->address);
    constexpr std::size_t endless = 64 * 1024 * 1024;
    caller.send(declared(endless) + std::string(endless, 'x'));
    caller.read_to_end();
    CHECK_EQUAL(0, this->server.buffered_bytes());
}

// Guards against bodies that stop short of their end and fill the memory.
TEST(server_limits, a_body_over_the_budget_is_refused_and_may_be_sent_again)
{
    this->server.set_body_budget(
        {byte_count(2 * max_body), byte_count(2 * max_body)});
    raw_link stalled(this->loop, this->address);
    stalled.send(declared(max_body) + std::string(max_body - 1, 'x'));
    const time_point has_stalled =
        event_loop::now() + 3 * body_budget::progress_window + tick;
    while (event_loop::now() < has_stalled)
    {
        this->loop.run_for(tick);
    }
    raw_link caller(this->loop, this->address);
    caller.send(declared(max_body) + std::string(max_body - 1, 'x'));
    // The first one has not moved for longer.
    const std::string answer = stalled.read_to_end();
    this->check_refused(answer, "503 ", "over_budget");
    STRCMP_CONTAINS("\r\nRetry-After: ", answer.c_str());
    caller.send("x");
    CHECK(caller.read_until("\r\n\r\n" + std::to_string(max_body)));
    CHECK_EQUAL(1, this->served);
}

TEST(server_limits, nothing_is_counted_once_requests_are_served)
{
    this->server.set_body_budget(
        {byte_count(2 * max_body), byte_count(2 * max_body)});
    raw_link caller(this->loop, this->address);
    for (std::size_t count = 1; count <= 5; ++count)
    {
        caller.send(declared(max_body) + std::string(max_body, 'x'));
        CHECK(caller.read_until("200 OK"));
        const time_point limit = event_loop::now() + max_wait;
        while (this->served < count && event_loop::now() < limit)
        {
            this->loop.run_for(std::chrono::milliseconds(1));
        }
    }
    CHECK_EQUAL(5, this->served);
    this->loop.run_for(std::chrono::milliseconds(10));
    CHECK_EQUAL(0, this->server.buffered_bytes());
    CHECK(this->refusals.empty());
}

// Guards against callers that request large responses and do not read them.
TEST(server_limits, output_that_is_not_read_stays_within_the_budget)
{
    constexpr std::size_t total = 8 * 1024 * 1024;
    constexpr std::size_t response_bytes = 8 * 1024 * 1024;
    constexpr std::size_t caller_count = 8;
    this->server.set_body_budget({byte_count(total), byte_count(total)});
    this->server.set_handler(
        [](const std::shared_ptr<http_exchange>& exchange)
        { exchange->respond(200, {}, std::string(response_bytes, 'x')); });
    std::vector<int> silent;
    for (std::size_t number = 0; number < caller_count; ++number)
    {
        silent.push_back(connect_to(this->address));
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        ::send(silent.back(), request.data(), request.size(), 0);
    }
    const time_point limit = event_loop::now() + max_wait;
    while (this->refusals.empty() && event_loop::now() < limit)
    {
        this->loop.run_for(tick);
    }
    CHECK_FALSE(this->refusals.empty());
    CHECK(this->server.buffered_bytes() <= total);
    for (const std::string& reason : this->refusals)
    {
        STRCMP_EQUAL("over_budget", reason.c_str());
    }
    for (const int descriptor : silent)
    {
        ::close(descriptor);
    }
}

// Guards against running out of descriptors: the process could then not accept
// ordinary callers, nor connect to replicas.
TEST(server_limits, the_connection_that_waited_longest_makes_room)
{
    connection_limits limits;
    limits.max_connections = 2;
    this->server.set_limits(limits);
    raw_link oldest(this->loop, this->address);
    raw_link busy(this->loop, this->address);
    busy.send(declared(2) + "x");
    this->wait_for_request();
    raw_link newest(this->loop, this->address);
    oldest.read_to_end();
    newest.send(declared(1) + "x");
    CHECK(newest.read_until("200 OK"));
    busy.send("x");
    CHECK(busy.read_until("200 OK"));
}

TEST(server_limits, the_newest_connection_is_closed_when_none_is_idle)
{
    connection_limits limits;
    limits.max_connections = 1;
    this->server.set_limits(limits);
    raw_link busy(this->loop, this->address);
    busy.send(declared(2) + "x");
    this->wait_for_request();
    raw_link newest(this->loop, this->address);
    newest.read_to_end();
    busy.send("x");
    CHECK(busy.read_until("200 OK"));
}
