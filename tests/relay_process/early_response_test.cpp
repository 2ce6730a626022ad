#include "relay_support/raw_replica.hpp"
#include "relay_support/raw_request.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

using ending = scripted_replica::ending;

/// Connections take the first upload at once, also if nobody reads it, and a
/// part of the second one.
constexpr std::size_t taken_upload = 300'000;
constexpr std::size_t long_upload = 3'500'000;
/// Time for a connection to take what it can of an upload.
constexpr duration pause = std::chrono::milliseconds(30);

std::string configuration()
{
    auto document =
        nlohmann::json::parse(relay_fleet::configuration(4, "/plain/"));
    document["limits"]["maxBodyBytes"] = 4 * 1024 * 1024;
    auto unsafe = document["routes"][0];
    unsafe["name"] = "unsafe";
    unsafe["prefix"] = "/unsafe/";
    unsafe["kind"] = "unsafe";
    document["routes"].push_back(unsafe);
    return document.dump();
}

std::string head_of(const std::string& request, const std::string& status,
                    const std::string& framing)
{
    return "HTTP/1.1 " + status + "\r\nParsleytrack-Request-Id: " +
           header_field(request, "Parsleytrack-Request-Id") +
           "\r\nParsleytrack-Response-Seal: s\r\n" + framing + "\r\n";
}

/// A fleet with one replica of a service that responds to uploads as soon as it
/// has their head.
class early_fleet
{
public:
    early_fleet(const std::string& service, const std::string& status,
                const std::string& framing, const std::string& body, ending end)
        : early(
              this->fleet.loop,
              [=](const std::string& request)
              {
                  scripted_replica::script script;
                  script.steps.push_back(
                      {pause, head_of(request, status, framing) + body});
                  script.end = end;
                  return script;
              },
              scripted_replica::reading::head)
    {
        this->fleet.store.erase("servers/i-web");
        this->fleet.store.put("op/config", configuration());
        this->fleet.store.put("servers/i-early", this->early.record(service));
        CHECK(this->fleet.wait(
            [this]
            {
                return this->fleet.call(0, "POST", "/unsafe/a").status != 404 &&
                       !this->fleet.status(0)["replicas"].empty();
            }));
    }

    /// Sends an upload until the replica has got it.
    relay_fleet::response upload(const std::string& path, std::size_t size)
    {
        relay_fleet::response response;
        const int before = this->early.started();
        CHECK(this->fleet.wait(
            [&]
            {
                response = this->fleet.call(
                    0, "POST", path, "id" + std::to_string(++this->uploads),
                    std::string(size, 'u'));
                return this->early.started() > before;
            }));
        return response;
    }

    relay_fleet fleet{relay_fleet_options{.engine_count = 0}};
    scripted_replica early;

private:
    int uploads = 0;
};

/// Checks that a response tells the caller that nothing complete came, and does
/// not say that the request has not run.
void check_failed(const relay_fleet::response& response)
{
    CHECK(response.body.find("part") == std::string::npos);
    CHECK_TEXT(response.status == 502 || response.status == 504,
               (std::to_string(response.status) + response.body).c_str());
}

} // namespace

TEST_GROUP(relay_early_responses){};

// Guards against giving a caller a part of a response as the whole: the replica
// responds before it has read the upload, and the response has no length.
TEST(relay_early_responses, a_part_is_no_response_to_a_plain_request)
{
    for (const ending end :
         {ending::closed, ending::half_closed, ending::reset})
    {
        early_fleet test("web", "200 OK", "", "a part", end);
        for (const std::size_t size : {taken_upload, long_upload})
        {
            check_failed(test.upload("/plain/a", size));
            const int before = test.early.started();
            check_failed(test.upload("/unsafe/a", size));
            CHECK_EQUAL(before + 1, test.early.started());
        }
    }
}

// Guards against failing a request that may run twice while another replica
// would serve it.
TEST(relay_early_responses, another_replica_serves_what_may_run_twice)
{
    early_fleet test("web", "200 OK", "", "a part", ending::half_closed);
    const raw_replica sound(test.fleet.loop, "i-sound",
                            raw_replica::fault::none);
    test.fleet.store.put("servers/i-sound", sound.record("web"));
    CHECK(test.fleet.wait(
        [&test] { return test.fleet.status(0)["replicas"].size() >= 2; }));
    const auto response = test.upload("/plain/a", taken_upload);
    CHECK_EQUAL(200, response.status);
    STRNCMP_EQUAL("page of ", response.body.c_str(), 8);
}

// Guards against ending a stream in order after a part of it.
TEST(relay_early_responses, a_part_is_no_whole_stream)
{
    early_fleet test("llm", "200 OK", "Content-Type: text/event-stream\r\n",
                     "id: 1\ndata: t1\n\n", ending::half_closed);
    const auto response = test.upload("/once/a", taken_upload);
    CHECK_EQUAL(0, response.status);
}

// Guards against losing a response that comes early and says where it ends, and
// against sending a request behind the rest of an upload.
TEST(relay_early_responses, a_framed_early_response_is_passed_on)
{
    for (const char* framing :
         {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"})
    {
        const bool is_chunked = std::string(framing).front() == 'T';
        early_fleet test("web", "413 Too Large", framing,
                         is_chunked ? "5\r\nwhole\r\n0\r\n\r\n" : "whole",
                         ending::open);
        for (int count = 0; count < 3; ++count)
        {
            const auto response = test.upload("/plain/a", taken_upload);
            CHECK_EQUAL(413, response.status);
            STRCMP_EQUAL("whole", response.body.c_str());
        }
    }
}

// Guards against passing on a status that HTTP does not have.
TEST(relay_early_responses, a_status_outside_of_100_to_599_is_no_response)
{
    for (const char* status : {"000 Text", "99 Text", "600 Text", "1000 Text"})
    {
        early_fleet test("web", status, "Content-Length: 6\r\n", "a part",
                         ending::open);
        check_failed(test.upload("/plain/a", 10));
        const int before = test.early.started();
        check_failed(test.upload("/unsafe/a", 10));
        CHECK_EQUAL(before + 1, test.early.started());
    }
}
