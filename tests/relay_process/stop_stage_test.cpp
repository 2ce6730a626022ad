#include "relay_support/raw_caller.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Callers may use a node's address for 1.5 s after the signal. These moments
/// lie before and after that, and closer together than the time limit of a
/// head.
constexpr duration shortly_before = std::chrono::milliseconds(1100);
constexpr duration from_before_to_after = std::chrono::milliseconds(700);
const std::string body = "two halves";
const std::string first_half = body.substr(0, 3);
const std::string second_half = body.substr(3);

std::string head(const std::string& id)
{
    return "POST /plain/a HTTP/1.1\r\nHost: h\r\nParsleytrack-Deadline-Ms: "
           "5000\r\nParsleytrack-Request-Id: " +
           id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n";
}

/// \returns Whether the text is one response that says that the request ran,
/// or that it did not.
bool is_definite(const std::string& text)
{
    const bool served =
        text.starts_with("HTTP/1.1 200") && text.ends_with("\r\n\r\npage of x");
    const bool refused = text.starts_with("HTTP/1.1 503") &&
                         text.find(R"("ran":"no")") != std::string::npos;
    return served || refused;
}

/// Sends the second part of a request while the node stops.
std::string send_in_parts(relay_fleet& fleet, duration first_at,
                          duration second_after, const std::string& first,
                          const std::string& second)
{
    fleet.process(0).signal(SIGTERM);
    fleet.run_for(first_at);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send(first);
    fleet.run_for(second_after);
    caller.send(second);
    return caller.read_to_end();
}

} // namespace

TEST_GROUP(relay_stop_stages){};

// Guards against closing the connection of a request whose head was half read
// when the node had no other open request, so that its caller cannot know
// whether it ran.
TEST(relay_stop_stages, a_head_that_is_half_read_is_answered)
{
    relay_fleet fleet(2);
    const std::string all = head("x");
    const std::string response = send_in_parts(
        fleet, shortly_before, from_before_to_after,
        all.substr(0, all.size() / 2), all.substr(all.size() / 2) + body);
    CHECK_TEXT(is_definite(response), response.c_str());
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
}

// Guards against giving up a request whose head came in time.
TEST(relay_stop_stages, a_body_that_is_half_read_is_served)
{
    relay_fleet fleet(2);
    const std::string response =
        send_in_parts(fleet, shortly_before, from_before_to_after,
                      head("x") + first_half, second_half);
    STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
    CHECK(is_definite(response));
}

// Guards against ending with requests unread that came just before the last
// moment, while the node was frozen.
TEST(relay_stop_stages, requests_not_read_yet_are_answered)
{
    relay_fleet fleet(2);
    fleet.process(0).signal(SIGTERM);
    fleet.run_for(shortly_before);
    fleet.process(0).signal(SIGSTOP);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int count = 0; count < 8; ++count)
    {
        callers.push_back(
            std::make_unique<raw_caller>(fleet.loop, fleet.front_address(0)));
        callers.back()->send(head("x") + body);
    }
    fleet.run_for(from_before_to_after);
    fleet.process(0).signal(SIGCONT);
    for (const auto& caller : callers)
    {
        const std::string response = caller->read_to_end();
        CHECK_TEXT(is_definite(response), response.c_str());
    }
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
}

// Guards against a process that ends by the signal, with no regard to what it
// has begun, when it is told to stop while it starts.
TEST(relay_stop_stages, a_process_that_still_starts_stops_as_planned)
{
    relay_fleet fleet(2);
    fleet.process(0).kill();
    fleet.start(0);
    const time_point begin = net::event_loop::now();
    while (!fleet.process(0).handles(SIGHUP) &&
           net::event_loop::now() - begin < relay_fleet::wait_timeout)
    {
    }
    fleet.process(0).signal(SIGTERM);
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
    CHECK_EQUAL(0, fleet.process(0).exit_code());
}

// Guards against holding up a stop for a caller that sends nothing more.
TEST(relay_stop_stages, a_head_that_never_ends_does_not_hold_up_the_stop)
{
    relay_fleet fleet(2);
    fleet.process(0).signal(SIGTERM);
    fleet.run_for(shortly_before);
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send(head("x").substr(0, 10));
    const time_point begin = net::event_loop::now();
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
    CHECK(net::event_loop::now() - begin < std::chrono::seconds(4));
}

// Guards against requests that come late in a planned stop, are passed on, and
// are cut off at its end: among them such that must not run again.
TEST(relay_stop_stages, late_requests_are_not_cut_off_at_the_end)
{
    relay_fleet_options options;
    options.node_count = 2;
    options.address_validity_s = 2;
    relay_fleet fleet(options);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(350);
    }
    fleet.process(0).signal(SIGTERM);
    std::vector<std::shared_ptr<relay_fleet::response>> responses;
    while (!fleet.process(0).has_ended() && responses.size() < 24)
    {
        responses.push_back(std::make_shared<relay_fleet::response>());
        fleet.start_call(
            0, "POST", responses.size() % 2 == 0 ? "/once/a" : "/stream/a",
            std::to_string(responses.size()), "", responses.back());
        fleet.run_for(std::chrono::milliseconds(200));
    }
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
    for (std::size_t number = 1; number <= responses.size(); ++number)
    {
        const relay_fleet::response& response = *responses[number - 1];
        int runs = 0;
        for (const auto& engine : fleet.engines)
        {
            const auto known = engine->runs.find(std::to_string(number));
            runs += known == engine->runs.end() ? 0 : known->second;
        }
        // Refused before it ran, or served to its end.
        CHECK_EQUAL(runs > 0 ? 200 : 503, response.status);
    }
}
