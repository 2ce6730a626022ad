#include "relay_support/raw_caller.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

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
        return {{{{},
                  "HTTP/1.1 200 OK\r\nParsleytrack-Request-Id: " + id +
                      "\r\nParsleytrack-Response-Seal: seal-" + id +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n"}}};
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
