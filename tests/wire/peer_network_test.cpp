#include "wire/peer_network.hpp"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::wire;

namespace
{

constexpr duration max_wait = std::chrono::seconds(5);
constexpr message_type any_type = message_type::gate_forward;

} // namespace

TEST_GROUP(peer_network)
{
    net::event_loop loop;
    peer_network callee{loop};
    peer_network caller{loop};
    endpoint address{"127.0.0.1", 0};
    std::optional<result<std::string>> outcome;
    std::vector<std::string> parts;

    void setup() override
    {
        this->address.port = this->callee.listen(this->address).value();
    }

    std::unique_ptr<peer_call> call(duration timeout = duration::zero())
    {
        peer_network::callbacks hooks;
        hooks.on_part = [this](std::string part)
        {
            this->parts.push_back(std::move(part));
        };
        hooks.on_end = [this](result<std::string> end)
        {
            this->outcome = std::move(end);
        };
        return this->caller.call(this->address, any_type, "ask", timeout,
                                 hooks);
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const time_point limit = net::event_loop::now() + max_wait;
        while (!condition() && net::event_loop::now() < limit)
        {
            this->loop.run_for(std::chrono::milliseconds(20));
        }
        CHECK(condition());
    }

    void wait()
    {
        this->run_until([this] { return this->outcome.has_value(); });
    }
};

TEST(peer_network, delivers_a_response_in_parts)
{
    this->callee.on_call(any_type,
                         [](const std::shared_ptr<peer_exchange>& exchange)
                         {
                             exchange->send_part("one");
                             exchange->send_part("two");
                             exchange->finish(exchange->request());
                         });
    const auto pending = this->call();
    this->wait();
    LONGS_EQUAL(2, this->parts.size());
    STRCMP_EQUAL("ask", this->outcome->value().c_str());
}

TEST(peer_network, transmits_errors)
{
    this->callee.on_call(any_type,
                         [](const std::shared_ptr<peer_exchange>& exchange)
                         {
                             exchange->fail(error{error_code::overloaded,
                                                  "full", ran_state::no,
                                                  std::chrono::seconds(2)});
                         });
    const auto pending = this->call();
    this->wait();
    CHECK(this->outcome->error().code == error_code::overloaded);
    CHECK(this->outcome->error().ran == ran_state::no);
    CHECK(*this->outcome->error().retry_after == std::chrono::seconds(2));
}

TEST(peer_network, notifies_the_callee_of_a_cancel)
{
    bool cancelled = false;
    std::shared_ptr<peer_exchange> kept;
    this->callee.on_call(any_type,
                         [&](const std::shared_ptr<peer_exchange>& exchange)
                         {
                             kept = exchange;
                             exchange->on_cancelled([&] { cancelled = true; });
                         });
    auto pending = this->call();
    this->run_until([&] { return kept != nullptr; });
    pending.reset();
    this->run_until([&] { return cancelled; });
    CHECK(!kept->is_open());
}

TEST(peer_network, reports_a_refused_connection_as_not_run)
{
    this->address.port = 1;
    const auto pending = this->call();
    this->wait();
    CHECK(this->outcome->error().code == error_code::peer_unreachable);
    CHECK(this->outcome->error().ran == ran_state::no);
}

TEST(peer_network, dropping_a_peer_fails_its_calls_as_unknown)
{
    std::shared_ptr<peer_exchange> kept;
    this->callee.on_call(any_type,
                         [&](const std::shared_ptr<peer_exchange>& exchange)
                         { kept = exchange; });
    const auto pending = this->call();
    this->run_until([&] { return kept != nullptr; });
    this->caller.drop_peer(this->address);
    this->wait();
    CHECK(this->outcome->error().ran == ran_state::unknown);
}

TEST(peer_network, times_out_when_the_peer_does_not_respond)
{
    std::shared_ptr<peer_exchange> kept;
    this->callee.on_call(any_type,
                         [&](const std::shared_ptr<peer_exchange>& exchange)
                         { kept = exchange; });
    const auto pending = this->call(std::chrono::milliseconds(40));
    this->wait();
    CHECK(this->outcome->error().code == error_code::deadline_exceeded);
    this->run_until([&] { return !kept->is_open(); });
}

TEST(peer_network, delivers_datagrams)
{
    std::string seen;
    this->callee.on_datagram([&](const endpoint&, std::string_view bytes)
                             { seen = std::string(bytes); });
    CHECK(this->caller.listen({"127.0.0.1", 0}).has_value());
    this->caller.send_datagram(this->address, "ping");
    this->run_until([&] { return !seen.empty(); });
    STRCMP_EQUAL("ping", seen.c_str());
}

TEST(peer_network, an_online_response_does_not_wait_for_a_bulk_transfer)
{
    constexpr std::size_t bulk_bytes = 16 * 1024 * 1024;
    bool bulk_ended = false;
    this->callee.on_call(message_type::segment_put,
                         [](const std::shared_ptr<peer_exchange>& exchange)
                         { exchange->finish("stored"); });
    this->callee.on_call(any_type,
                         [](const std::shared_ptr<peer_exchange>& exchange)
                         { exchange->finish("answer"); });
    peer_network::callbacks hooks;
    hooks.on_end = [&bulk_ended](const result<std::string>&)
    {
        bulk_ended = true;
    };
    const auto bulk = this->caller.call(
        this->address, message_type::segment_put, std::string(bulk_bytes, 'x'),
        duration::zero(), hooks);
    const auto pending = this->call();
    this->wait();
    CHECK(!bulk_ended);
    this->run_until([&] { return bulk_ended; });
}

// Guards against messages of nodes that are lost for the limit of unfinished
// input, which only strangers meet.
TEST(peer_network, a_large_message_arrives_within_the_limit)
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    this->callee.set_limits({byte_count(8 * mebibyte), 4});
    std::size_t received = 0;
    this->callee.on_call(
        any_type,
        [&received](const std::shared_ptr<peer_exchange>& exchange)
        {
            received += exchange->request().size();
            exchange->finish("done");
        });
    const std::string payload(6 * mebibyte, 'x');
    for (int number = 0; number < 3; ++number)
    {
        this->outcome.reset();
        const auto call = this->caller.call(this->address, any_type, payload,
                                            duration::zero(),
                                            {{},
                                             [this](result<std::string> end)
                                             {
                                                 this->outcome = std::move(end);
                                             }});
        this->wait();
        CHECK(this->outcome->has_value());
    }
    CHECK_EQUAL(3 * payload.size(), received);
}

TEST(peer_network, a_message_over_the_limit_ends_its_connection)
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    this->callee.set_limits({byte_count(mebibyte), 4});
    const std::string payload(6 * mebibyte, 'x');
    const auto call =
        this->caller.call(this->address, any_type, payload, duration::zero(),
                          {{},
                           [this](result<std::string> end)
                           {
                               this->outcome = std::move(end);
                           }});
    this->wait();
    CHECK(this->outcome->has_error());
}

// Guards against a node that is cut off from others because strangers have
// opened all the connections that it accepts.
TEST(peer_network, a_connection_in_use_outlasts_those_of_strangers)
{
    this->callee.set_limits({byte_count(), 3});
    std::shared_ptr<peer_exchange> open_exchange;
    this->callee.on_call(
        any_type,
        [&open_exchange](const std::shared_ptr<peer_exchange>& exchange)
        { open_exchange = exchange; });
    const auto call = this->call();
    this->run_until([&open_exchange] { return open_exchange != nullptr; });
    constexpr int stranger_count = 10;
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(this->address.port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::vector<int> strangers;
    for (int number = 0; number < stranger_count; ++number)
    {
        strangers.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        CHECK_EQUAL(0, ::connect(strangers.back(),
                                 reinterpret_cast<sockaddr*>(&target),
                                 sizeof(target)));
        this->loop.run_for(std::chrono::milliseconds(5));
    }
    int closed = 0;
    for (const int stranger : strangers)
    {
        char byte = 0;
        closed += ::recv(stranger, &byte, 1, MSG_DONTWAIT) == 0 ? 1 : 0;
        ::close(stranger);
    }
    CHECK_EQUAL(stranger_count - 2, closed);
    open_exchange->finish("done");
    this->wait();
    CHECK(this->outcome->has_value());
}
