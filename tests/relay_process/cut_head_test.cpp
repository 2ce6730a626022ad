#include "relay_support/raw_request.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Every so many bytes a head is cut.
constexpr std::size_t cut_step = 7;
/// The last bytes of a head, at each of which it is cut.
constexpr std::size_t fine_cuts = 8;

std::vector<std::string> framings()
{
    return {"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n",
            "Connection: close\r\n"};
}

std::string head_of(const std::string& request, const std::string& framing)
{
    return "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " +
           header_field(request, "Parsleytrack-Request-Id") +
           "\r\nParsleytrack-Response-Seal: s\r\n"
           "Content-Type: text/event-stream\r\n" +
           framing + "\r\n";
}

/// Replicas that close the connection in the middle of their answer's head,
/// each at another byte.
class cut_heads
{
public:
    explicit cut_heads(const std::string& service)
    {
        this->fleet.store.erase("servers/i-web");
        for (const std::string& framing : framings())
        {
            const std::size_t length =
                head_of("Parsleytrack-Request-Id: 0123\r", framing).size();
            for (std::size_t kept = 1; kept < length; ++kept)
            {
                if (kept % cut_step == 0 || length - kept <= fine_cuts)
                {
                    this->add_replica(service, framing, length - kept);
                }
            }
        }
        CHECK(this->fleet.wait(
            [this] {
                return this->fleet.status(0)["replicas"].size() >=
                       this->replicas.size();
            }));
    }

    /// Sends requests to all replicas and counts the answers of 200.
    void check(const std::string& path)
    {
        std::vector<std::shared_ptr<relay_fleet::response>> responses;
        for (std::size_t count = 0; count < 3 * this->replicas.size(); ++count)
        {
            responses.push_back(std::make_shared<relay_fleet::response>());
            this->fleet.start_call(0, "GET", path, std::to_string(1000 + count),
                                   "", responses.back());
        }
        CHECK(this->fleet.wait(
            [&responses]
            {
                return std::all_of(responses.begin(), responses.end(),
                                   [](const auto& response)
                                   { return response->status >= 0; });
            }));
        for (const auto& response : responses)
        {
            CHECK(response->status != 200);
        }
        CHECK_EQUAL(0, std::count(this->asked.begin(), this->asked.end(), 0));
    }

private:
    void add_replica(const std::string& service, const std::string& framing,
                     std::size_t missing)
    {
        const std::size_t index = this->replicas.size();
        this->asked.push_back(0);
        this->replicas.push_back(std::make_unique<scripted_replica>(
            this->fleet.loop,
            [this, index, framing, missing](const std::string& request)
            {
                ++this->asked[index];
                const std::string head = head_of(request, framing);
                scripted_replica::script script;
                script.steps.push_back(
                    {duration::zero(), head.substr(0, head.size() - missing)});
                script.end = scripted_replica::ending::closed;
                return script;
            }));
        this->fleet.store.put("servers/s-" + std::to_string(index),
                              this->replicas.back()->record(service));
    }

    relay_fleet fleet{relay_fleet_options{.engine_count = 0}};
    std::vector<int> asked;
    std::vector<std::unique_ptr<scripted_replica>> replicas;
};

} // namespace

TEST_GROUP(relay_cut_heads){};

// Guards against an answer of 200 with an empty or short body, framed as whole,
// when a replica stops in the middle of its answer's head.
TEST(relay_cut_heads, a_head_that_ends_half_way_is_no_answer_to_a_request)
{
    cut_heads("web").check("/plain/a");
}

// The same for streams that may be resumed, and for others.
TEST(relay_cut_heads, a_head_that_ends_half_way_begins_no_stream)
{
    cut_heads("llm").check("/stream/a");
    cut_heads("llm").check("/once/a");
}
