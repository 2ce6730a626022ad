#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/repeating_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int round_count = 6;
constexpr duration short_run = std::chrono::milliseconds(30);

/// \returns Whether a status promises that the request has not run.
bool denies_run(int status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

/// \returns Every third arrival is refused, by turns with and without the
/// request's id; the other requests run.
repeating_replica::reply refuse_some(const std::string& request, int& arrivals)
{
    ++arrivals;
    if (arrivals % 3 == 0)
    {
        return {repeating_replica::refusal(arrivals % 2 == 0 ? request : ""),
                duration::zero(), false};
    }
    return {repeating_replica::response("200 OK", request, expected_stream()),
            short_run};
}

/// Sends requests that must not run twice among others that use connections
/// again, and checks what their callers were told.
void check_rounds(relay_fleet& fleet,
                  const std::vector<const repeating_replica*>& replicas)
{
    int ran = 0;
    for (int round = 0; round < round_count; ++round)
    {
        std::vector<std::shared_ptr<relay_fleet::response>> responses;
        std::vector<std::string> ids;
        for (const std::string path : {"/stream/a", "/once/a", "/stream/b"})
        {
            ids.push_back("id" + std::to_string(round) + "-" +
                          std::to_string(ids.size()));
            responses.push_back(std::make_shared<relay_fleet::response>());
            fleet.start_call(0, "POST", path, ids.back(), "", responses.back());
        }
        for (const auto& response : responses)
        {
            CHECK(fleet.wait([&response] { return response->status >= 0; }));
        }
        fleet.run_for(std::chrono::milliseconds(50));
        int runs = 0;
        for (const repeating_replica* replica : replicas)
        {
            const auto found = replica->runs.find(ids[1]);
            runs += found == replica->runs.end() ? 0 : found->second;
        }
        CHECK(runs <= 1);
        CHECK(runs == 0 || !denies_run(responses[1]->status));
        ran += runs;
    }
    CHECK(ran > 0);
}

} // namespace

TEST_GROUP(relay_refusal_copies){};

// Guards against telling a caller that a request has not run, or running it
// twice, when earlier refusals are written once more on kept connections.
TEST(relay_refusal_copies, late_copies_on_kept_connections_deny_no_run)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    int arrivals = 0;
    const auto replies = [&arrivals](const std::string& request, int)
    {
        return refuse_some(request, arrivals);
    };
    const repeating_replica first(fleet.loop, replies);
    const repeating_replica second(fleet.loop, replies);
    fleet.store.put("servers/i-first", first.record("llm"));
    fleet.store.put("servers/i-second", second.record("llm"));
    check_rounds(fleet, {&first, &second});
}

// Guards against the same when the copy of a refusal follows a response at
// once, also on a connection that is new.
TEST(relay_refusal_copies, copies_behind_a_response_deny_no_run)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    int arrivals = 0;
    const auto replies = [&arrivals](const std::string& request, int)
    {
        auto reply = refuse_some(request, arrivals);
        reply.bytes += repeating_replica::refusal("");
        return reply;
    };
    const repeating_replica first(fleet.loop, replies);
    const repeating_replica second(fleet.loop, replies);
    fleet.store.put("servers/i-first", first.record("llm"));
    fleet.store.put("servers/i-second", second.record("llm"));
    check_rounds(fleet, {&first, &second});
}
