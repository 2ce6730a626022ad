#include "http_pair.hpp"

#include <optional>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

/// Listens on a port; each accepted connection is closed after its first read.
struct closing_listener
{
    event_loop& loop;
    int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    int accepted = 0;
    std::uint16_t port = 0;
    timer poll;

    explicit closing_listener(event_loop& event_loop) : loop(event_loop)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK(::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0);
        ::listen(this->descriptor, 8);
        socklen_t length = sizeof(address);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                      &length);
        this->port = ntohs(address.sin_port);
    }
    ~closing_listener() { ::close(this->descriptor); }

    void serve_one()
    {
        const int connection = ::accept(this->descriptor, nullptr, nullptr);
        char buffer[512];
        if (::read(connection, buffer, sizeof(buffer)) > 0)
        {
            this->accepted += 1;
        }
        ::close(connection);
    }
};

} // namespace

TEST_GROUP_BASE(http, http_pair){};

TEST(http, echoes_a_body_on_a_reused_connection)
{
    this->server.set_handler(
        [](const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->on_body(100, [exchange](const std::string& body)
                              { exchange->respond(200, {}, body + "!"); });
        });
    for (int round = 0; round < 5; ++round)
    {
        this->outcome.reset();
        http_request request;
        request.method = "POST";
        request.target = "/echo?a=b%20c";
        request.body = "case";
        const auto call = this->send(request);
        this->wait();
        CHECK(this->outcome->has_value());
        STRCMP_EQUAL("case!", this->outcome->value().body.c_str());
    }
}

TEST(http, refuses_a_body_over_the_limit)
{
    this->server.set_handler(
        [](const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->on_body(100, [exchange](const std::string&)
                              { exchange->respond(200, {}, ""); });
        });
    http_request request;
    request.method = "POST";
    request.body = std::string(5000, 'x');
    const auto call = this->send(request);
    this->wait();
    LONGS_EQUAL(413, this->outcome->value().status);
}

TEST(http, decodes_the_query)
{
    std::string seen;
    this->server.set_handler(
        [&seen](const std::shared_ptr<http_exchange>& exchange)
        {
            seen = exchange->head().query.at("service");
            exchange->respond(204, {}, "");
        });
    http_request request;
    request.target = "/v1/addresses?service=rota%2Dllm&x=1";
    const auto call = this->send(request);
    this->wait();
    STRCMP_EQUAL("rota-llm", seen.c_str());
}

TEST(http, delivers_a_chunked_response)
{
    this->server.set_handler(
        [](const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->start_stream(200, {{"Content-Type", "text/plain"}});
            exchange->write_chunk("a");
            exchange->write_chunk("b");
            exchange->finish_stream();
        });
    const auto call = this->send({});
    this->wait();
    STRCMP_EQUAL("ab", this->outcome->value().body.c_str());
}

TEST(http, reports_an_aborted_chunked_response_as_an_error)
{
    this->server.set_handler(
        [](const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->start_stream(200, {});
            exchange->write_chunk("a");
            exchange->abort();
        });
    const auto call = this->send({});
    this->wait();
    CHECK(this->outcome->has_error());
    CHECK(this->outcome->error().ran == ran_state::unknown);
}

TEST(http, notifies_the_handler_when_the_caller_disconnects)
{
    bool closed = false;
    std::shared_ptr<http_exchange> kept;
    this->server.set_handler(
        [&](const std::shared_ptr<http_exchange>& exchange)
        {
            kept = exchange;
            exchange->on_closed([&closed] { closed = true; });
        });
    auto call = this->send({});
    const time_point limit = event_loop::now() + max_wait;
    while (!closed && event_loop::now() < limit)
    {
        this->loop.run_for(std::chrono::milliseconds(10));
        if (kept)
        {
            call.reset();
        }
    }
    CHECK(closed);
    CHECK(!kept->is_open());
}

TEST(http, reports_a_refused_connection_as_not_run)
{
    this->server.stop_accepting();
    const auto call = this->send({});
    this->wait();
    CHECK(this->outcome->has_error());
    CHECK(this->outcome->error().code == error_code::peer_unreachable);
    CHECK(this->outcome->error().ran == ran_state::no);
}

TEST(http, does_not_retry_when_the_server_closes_after_reading)
{
    closing_listener listener(this->loop);
    this->address.port = listener.port;
    const auto call = this->send({});
    const timer serve = this->loop.call_after(std::chrono::milliseconds(20),
                                              [&] { listener.serve_one(); });
    this->wait();
    CHECK(this->outcome->has_error());
    CHECK(this->outcome->error().ran == ran_state::unknown);
    LONGS_EQUAL(1, listener.accepted);
}

TEST(http, times_out_when_the_server_does_not_respond)
{
    std::shared_ptr<http_exchange> kept;
    this->server.set_handler(
        [&kept](const std::shared_ptr<http_exchange>& exchange)
        { kept = exchange; });
    http_request request;
    request.head_timeout = std::chrono::milliseconds(30);
    const auto call = this->send(request);
    this->wait();
    CHECK(this->outcome->error().code == error_code::deadline_exceeded);
}

// Guards against waiting for each of several connections that a restarted
// device on the path has made silent together.
TEST(http, no_idle_connection_is_used_after_one_was_silent)
{
    std::vector<std::shared_ptr<http_exchange>> waiting;
    this->server.set_handler([&waiting](const auto& exchange)
                             { waiting.push_back(exchange); });
    http_request request;
    const auto first = this->send(request);
    const auto second = this->send(request);
    while (waiting.size() < 2)
    {
        this->loop.run_for(std::chrono::milliseconds(5));
    }
    for (const auto& exchange : waiting)
    {
        exchange->respond(200, {}, "");
    }
    this->wait();
    this->loop.run_for(std::chrono::milliseconds(50));
    // Only connections that are open already can be used from here on.
    this->server.stop_accepting();
    this->outcome.reset();
    request.head_timeout = std::chrono::milliseconds(30);
    const auto silent = this->send(request);
    this->wait();
    CHECK(this->outcome->error().code == error_code::deadline_exceeded);
    this->outcome.reset();
    const auto last = this->send(request);
    this->wait();
    CHECK(this->outcome->error().code == error_code::peer_unreachable);
}

TEST(http, responses_of_a_closing_server_close_their_connection)
{
    this->server.set_handler([](const std::shared_ptr<http_exchange>& exchange)
                             { exchange->respond_json(200, "{}"); });
    const auto connection_field = [this]
    {
        this->outcome.reset();
        const auto call = this->send(http_request());
        this->wait();
        const std::string* field =
            find_header(this->outcome->value().headers, "Connection");
        return field == nullptr ? std::string() : *field;
    };
    STRCMP_EQUAL("", connection_field().c_str());
    this->server.close_after_responses();
    STRCMP_EQUAL("close", connection_field().c_str());
    LONGS_EQUAL(0, this->server.open_requests());
}

TEST(http, reports_unknown_when_a_reset_precedes_the_send_limit)
{
    // Guards against reporting a request that was sent as not run: the loop is
    // blocked past the time to send, and the server resets the connection
    // just before the timer fires.
    closing_listener listener(this->loop);
    this->address.port = listener.port;
    http_request request;
    static constexpr duration timeout = std::chrono::milliseconds(60);
    request.send_by = event_loop::now() + timeout;
    const auto call = this->send(request);
    int connection = -1;
    const timer block_loop = this->loop.call_after(
        timeout / 2,
        [&listener, &connection]
        {
            connection = ::accept(listener.descriptor, nullptr, nullptr);
            char buffer[512];
            CHECK(::read(connection, buffer, sizeof(buffer)) > 0);
            ::usleep(static_cast<useconds_t>(timeout.count()));
        });
    const timer reset = this->loop.call_after(
        timeout - std::chrono::milliseconds(2),
        [&connection]
        {
            const linger abortive{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abortive,
                         sizeof(abortive));
            ::close(connection);
            ::usleep(5000);
        });
    this->wait();
    CHECK(this->outcome->has_error());
    CHECK(this->outcome->error().ran == ran_state::unknown);
}

TEST(http, refuses_a_head_over_the_limit)
{
    const int link = connect_to(this->address);
    std::string text = "GET /x HTTP/1.1\r\n";
    text.resize(80'000, 'a');
    ::send(link, text.data(), text.size(), MSG_DONTWAIT);
    std::string answer(15, ' ');
    const time_point limit = event_loop::now() + max_wait;
    ssize_t length = -1;
    while (length < 0 && event_loop::now() < limit)
    {
        this->loop.run_for(std::chrono::milliseconds(5));
        length = ::recv(link, answer.data(), answer.size(), MSG_DONTWAIT);
    }
    STRCMP_EQUAL("HTTP/1.1 431 Re", answer.c_str());
    ::close(link);
}
