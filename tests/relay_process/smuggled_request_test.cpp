#include "relay_support/raw_caller.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;
using nlohmann::json;

namespace
{

const std::string smuggled =
    " HTTP/1.1\r\nHost: h\r\nParsleytrack-Request-Id: smuggled\r\n"
    "Content-Length: 0\r\n\r\nPOST /other/1";

/// A node and one replica, which records the heads that it gets.
class recording_fleet
{
public:
    recording_fleet()
    {
        this->fleet.store.erase("servers/i-web");
        this->fleet.store.put("servers/i-llm", this->replica.record("llm"));
        this->fleet.store.put("servers/i-page", this->replica.record("web"));
        this->fleet.wait(
            [this] {
                return this->fleet.call(0, "POST", "/plain/a", "warm").status ==
                       200;
            });
        this->received.clear();
    }

    /// Submits a job of one item.
    int submit(const json& item)
    {
        const json body{{"items", json::array({item})}};
        return this->fleet
            .call(0, "POST", "/batch/job", "job" + std::to_string(++this->jobs),
                  body.dump())
            .status;
    }

    /// \returns The response to a request of these bytes, up to its end.
    std::string send(const std::string& bytes)
    {
        raw_caller caller(this->fleet.loop, this->fleet.front_address(0));
        caller.send(bytes);
        return caller.read_until_lost();
    }

    relay_fleet fleet{relay_fleet_options{.engine_count = 0}};
    std::vector<std::string> received;

private:
    scripted_replica::script answer(const std::string& request)
    {
        this->received.push_back(request);
        const std::size_t begin = request.find("Parsleytrack-Request-Id: ");
        const std::size_t id_begin = begin + 25;
        const std::string id =
            request.substr(id_begin, request.find('\r', begin) - id_begin);
        const std::string head =
            "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " + id +
            "\r\nParsleytrack-Response-Seal: seal-" + id +
            "\r\nContent-Type: text/event-stream\r\n"
            "Content-Length: 15\r\n\r\n";
        const bool has_body = !request.starts_with("HEAD ");
        return {{{{}, head + (has_body ? "id: 1\ndata: a\n\n" : "")}}};
    }

    scripted_replica replica{this->fleet.loop,
                             [this](const std::string& request)
                             {
                                 return this->answer(request);
                             }};
    int jobs = 0;
};

json item_with(const char* field, const json& value)
{
    json item{{"id", "e5"},
              {"path", "/batch/x"},
              {"headers", {{"A", "b"}}},
              {"body", ""},
              {"tokens", 10}};
    item[field] = value;
    return item;
}

std::string request(const std::string& method, const std::string& target,
                    const std::string& field = "A: b")
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: h\r\nParsleytrack-Request-Id: id1\r\n"
           "Parsleytrack-Deadline-Ms: 2000\r\nConnection: close\r\n" +
           field + "\r\nContent-Length: 0\r\n\r\n";
}

/// \param fields Further lines of the head, each with its end.
/// \returns A request on a connection that stays open, up to its body.
std::string head_of(const std::string& method, const std::string& fields)
{
    return method +
           " /plain/a HTTP/1.1\r\nHost: h\r\nParsleytrack-Request-Id: id1\r\n"
           "Parsleytrack-Deadline-Ms: 2000\r\nConnection: close\r\n" +
           fields + "\r\n";
}

std::string with_length(const std::string& method, const std::string& body)
{
    return head_of(method,
                   "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           body;
}

std::string in_chunks(const std::string& method, const std::string& body)
{
    constexpr std::size_t first_bytes = 5;
    std::string chunks = "5\r\n" + body.substr(0, first_bytes) + "\r\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size() - first_bytes);
    chunks.append(size.data()).append("\r\n");
    chunks += body.substr(first_bytes) + "\r\n0\r\n\r\n";
    return head_of(method, "Transfer-Encoding: chunked\r\n") + chunks;
}

int count_of(const std::string& text, const std::string& wanted)
{
    int count = 0;
    for (std::size_t at = text.find(wanted); at != std::string::npos;
         at = text.find(wanted, at + 1))
    {
        ++count;
    }
    return count;
}

const std::vector<std::string> methods = {"POST",    "PUT", "PATCH", "DELETE",
                                          "OPTIONS", "GET", "HEAD"};

} // namespace

TEST_GROUP(relay_smuggled_requests){};

// Guards against a second request in what an item names, which a replica would
// run, and against items that reach replicas changed.
TEST(relay_smuggled_requests, items_that_change_the_request_are_refused)
{
    recording_fleet test;
    const std::vector<std::pair<const char*, json>> fields = {
        {"path", "/batch/x" + smuggled},
        {"path", "/batch/x y"},
        {"path", "/batch/x\ny"},
        {"path", std::string("/batch/x\0y", 10)},
        {"path", "batch/x"},
        {"id", "e5\r\nParsleytrack-Request-Id: smuggled"},
        {"headers", {{"A", "b\r\nParsleytrack-Request-Id: smuggled"}}},
        {"headers", {{"A\r\nB", "c"}}},
        {"headers", {{"Parsleytrack-Request-Id", "smuggled"}}},
        {"headers", {{"Last-Event-Id", "3"}}},
        {"headers", {{"Host", "other"}}}};
    for (const auto& [field, value] : fields)
    {
        CHECK_EQUAL_TEXT(400, test.submit(item_with(field, value)), field);
    }
    test.fleet.run_for(std::chrono::milliseconds(500));
    CHECK(test.received.empty());
    CHECK_EQUAL(202, test.submit(item_with("path", "/batch/x?y=%20")));
    CHECK(test.fleet.wait([&test] { return !test.received.empty(); }));
    STRCMP_CONTAINS("POST /batch/x?y=%20 HTTP/1.1\r\n",
                    test.received.front().c_str());
}

// Guards against requests that reach replicas with another method or target.
TEST(relay_smuggled_requests, unusual_requests_are_unchanged_or_refused)
{
    for (const char* target : {"/plain/a?", "/plain/a??", "/plain/a?b",
                               "/plain/", "/plain/a%0d%0ab", "/plain/a;b"})
    {
        recording_fleet test;
        STRCMP_CONTAINS("HTTP/1.1 200",
                        test.send(request("POST", target)).c_str());
        const std::string line =
            "POST " + std::string(target) + " HTTP/1.1\r\n";
        STRCMP_CONTAINS(line.c_str(), test.received.at(0).c_str());
    }
    for (const char* method : {"MKCOL", "PURGE", "TRACE", "PROPFIND", "LOCK"})
    {
        recording_fleet test;
        const std::string response = test.send(request(method, "/plain/a"));
        CHECK_FALSE(response.starts_with("HTTP/1.1 200"));
        CHECK(test.received.empty());
    }
    for (const std::string& field :
         {std::string("A: b\rParsleytrack-Request-Id: smuggled"),
          std::string("A: b\nParsleytrack-Request-Id: smuggled"),
          std::string("A: b\0c", 6), std::string("A: b\x01")})
    {
        recording_fleet test;
        test.send(request("POST", "/plain/a", field));
        for (const std::string& head : test.received)
        {
            // What reaches a replica has the caller's id alone.
            CHECK(head.find("\nParsleytrack-Request-Id: smuggled") ==
                  std::string::npos);
            STRCMP_CONTAINS("Parsleytrack-Request-Id: id1", head.c_str());
        }
    }
}

// Guards against a body that reaches a replica without its length: the replica
// loses it, or runs its bytes as a request that no caller has sent.
TEST(relay_smuggled_requests, bodies_reach_replicas_with_their_length)
{
    recording_fleet test;
    const std::string ordinary = R"({"title": "lemon", "tubs": 3})";
    const std::string inner = "POST /plain/b" + smuggled + smuggled;
    for (const std::string& method : methods)
    {
        for (const std::string& body : {ordinary, inner})
        {
            for (const std::string& sent :
                 {with_length(method, body), in_chunks(method, body)})
            {
                test.received.clear();
                STRCMP_CONTAINS("HTTP/1.1 200", test.send(sent).c_str());
                test.fleet.run_for(std::chrono::milliseconds(30));
                CHECK_EQUAL_TEXT(1, test.received.size(), sent.c_str());
                const std::string& seen = test.received.front();
                CHECK_TEXT(seen.starts_with(method + " /plain/a HTTP/1.1"),
                           seen.c_str());
                CHECK_TEXT(seen.ends_with("\r\n\r\n" + body), seen.c_str());
                const std::string head =
                    seen.substr(0, seen.size() - body.size());
                CHECK_EQUAL_TEXT(1, count_of(head, "Content-Length:"),
                                 seen.c_str());
                CHECK_EQUAL(0, count_of(head, "Transfer-Encoding:"));
            }
        }
    }
}

// Guards against a request without a body that makes the replica wait for one.
TEST(relay_smuggled_requests, requests_without_a_body_end_with_their_head)
{
    recording_fleet test;
    for (const std::string& method : methods)
    {
        for (const char* fields : {"", "Content-Length: 0\r\n"})
        {
            test.received.clear();
            STRCMP_CONTAINS("HTTP/1.1 200",
                            test.send(head_of(method, fields)).c_str());
            CHECK_EQUAL(1, test.received.size());
            const std::string& seen = test.received.front();
            CHECK_TEXT(seen.ends_with("\r\n\r\n"), seen.c_str());
            CHECK_EQUAL(0, count_of(seen, "Transfer-Encoding:"));
        }
    }
}

// Guards against a body whose end callers and nodes see at different places, so
// that a replica runs the rest as a request.
TEST(relay_smuggled_requests, bodies_of_ambiguous_length_are_refused)
{
    recording_fleet test;
    const std::string rest = "POST /plain/b" + smuggled;
    const std::string length = std::to_string(rest.size());
    const std::string chunks = "0\r\n\r\n" + rest;
    const std::vector<std::pair<std::string, std::string>> ambiguous = {
        {"Content-Length: 0\r\nContent-Length: " + length + "\r\n", rest},
        {"Content-Length: " + length + "\r\nContent-Length: 0\r\n", rest},
        {"Content-Length: 0, " + length + "\r\n", rest},
        {"Content-Length: +" + length + "\r\n", rest},
        {"Content-Length: -1\r\n", rest},
        {"Content-Length: 0 " + length + "\r\n", rest},
        {"Content-Length: 0x10\r\n", rest},
        {"Content-Length:\r\n", rest},
        {"Content-Length: 99999999999999999999\r\n", rest},
        {"Content-Length : " + length + "\r\n", rest},
        {"Content-Length: 1\r\n 0\r\n", rest},
        {"Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n",
         chunks},
        {"Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n",
         chunks},
        {"Transfer-Encoding: xchunked\r\n", chunks},
        {"Transfer-Encoding: chunked, identity\r\n", chunks},
        {"Transfer-Encoding: gzip, chunked\r\n", chunks},
        {"Transfer-Encoding : chunked\r\n", chunks},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
         chunks}};
    for (const std::string& method : {std::string("POST"), std::string("GET")})
    {
        for (const auto& [fields, body] : ambiguous)
        {
            test.received.clear();
            const std::string sent = head_of(method, fields) + body;
            raw_caller caller(test.fleet.loop, test.fleet.front_address(0));
            caller.send(sent);
            CHECK_TEXT(caller.read_until("HTTP/1.1 4"), sent.c_str());
            test.fleet.run_for(std::chrono::milliseconds(30));
            CHECK_EQUAL_TEXT(0, test.received.size(), sent.c_str());
        }
    }
}

// Guards against a caller that waits for a go-ahead before it sends the body.
TEST(relay_smuggled_requests, bodies_that_wait_for_a_go_ahead_arrive)
{
    recording_fleet test;
    const std::string body = R"({"title": "lemon"})";
    for (const std::string& method : methods)
    {
        test.received.clear();
        raw_caller caller(test.fleet.loop, test.fleet.front_address(0));
        caller.send(head_of(method, "Expect: 100-continue\r\nContent-Length: " +
                                        std::to_string(body.size()) + "\r\n"));
        CHECK_TEXT(caller.read_until("HTTP/1.1 100"), method.c_str());
        caller.send(body);
        CHECK_TEXT(caller.read_until("HTTP/1.1 200"), method.c_str());
        CHECK_EQUAL(1, test.received.size());
        CHECK(test.received.front().ends_with("\r\n\r\n" + body));
    }
}

// Guards against a caller that chooses the service of its request by the fields
// that nodes send to each other.
TEST(relay_smuggled_requests, fields_of_nodes_choose_no_other_service)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 1});
    fleet.caller_headers = {
        {"Relay-Runs", "0"}, {"Relay-Service", "llm"}, {"Relay-Version", "v1"}};
    CHECK_EQUAL(503, fleet.call(0, "POST", "/plain/a", "one").status);
    CHECK_EQUAL(0, fleet.engines.front()->run_count);
    CHECK_EQUAL(200, fleet.call(0, "POST", "/stream/a", "two").status);
}
