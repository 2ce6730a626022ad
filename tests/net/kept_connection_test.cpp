#include "http_pair.hpp"

#include <functional>
#include <string>
#include <utility>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

/// Requests that wear out as many connections as the client keeps for a target.
constexpr int many_requests = 64 * 256;

} // namespace

TEST_GROUP_BASE(kept_connections, http_pair){};

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
