#include "relay/replica_exchange.hpp"

#include "net/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(replica_exchange){};

// Guards against blaming a replica for a request that this process was too late
// to send, and against sending it all the same.
TEST(replica_exchange, a_request_past_its_time_limit_expires)
{
    net::event_loop loop;
    net::http_server server(loop);
    int received = 0;
    server.set_handler([&received](const auto&) { ++received; });
    routing::replica_entry replica;
    replica.address = endpoint{"127.0.0.1", 0};
    replica.address.port = server.listen(replica.address).value();
    net::http_client client(loop);
    header_names names;
    names.expected_replica = "Replica";
    net::http_request request;
    request.send_by = net::event_loop::now() - std::chrono::milliseconds(1);
    std::optional<attempt_outcome> outcome;
    replica_exchange::callbacks hooks;
    hooks.on_end = [&outcome](attempt_outcome end, const net::http_response&,
                              const std::string&)
    {
        outcome = end;
    };
    const replica_exchange attempt(client, names, replica, request,
                                   request_id("r"), std::move(hooks));
    for (int turn = 0; turn < 20; ++turn)
    {
        loop.run_for(std::chrono::milliseconds(5));
    }
    CHECK(outcome == attempt_outcome::expired);
    LONGS_EQUAL(0, received);
}
