#include "broken_streams.hpp"

#include "relay_support/raw_caller.hpp"
#include "relay_support/raw_request.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace parsleytrack::relay_process
{

using namespace relay_support;

namespace
{

constexpr int replica_count = 4;
constexpr int events_before_break = 3;

std::string take_line(std::string_view& rest)
{
    const std::size_t end = rest.find("\r\n");
    const std::string line(rest.substr(0, end));
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
    return line;
}

/// Reads a body in chunks.
///
/// \returns Whether it is complete.
bool read_chunks(std::string_view rest, std::string& body)
{
    while (!rest.empty())
    {
        const std::size_t length =
            std::stoul("0" + take_line(rest), nullptr, 16);
        if (length == 0)
        {
            return rest == "\r\n";
        }
        body += rest.substr(0, length);
        rest.remove_prefix(std::min(rest.size(), length + 2));
    }
    return false;
}

broken_streams::outcome read_response(const std::string& received)
{
    broken_streams::outcome seen;
    // No event of these tests has such a text at the start of a line.
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1))
    {
        const bool is_data =
            at >= 6 && received.compare(at - 6, 6, "data: ") == 0;
        seen.heads += is_data ? 0 : 1;
    }
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return seen;
    }
    seen.head = received.substr(0, end + 2);
    seen.status = std::stoi(seen.head.substr(std::string("HTTP/1.1 ").size()));
    const std::string_view rest = std::string_view(received).substr(end + 4);
    if (!header_field(seen.head, "Transfer-Encoding").empty())
    {
        seen.is_complete = read_chunks(rest, seen.body);
        return seen;
    }
    seen.body = rest;
    const std::string length = header_field(seen.head, "Content-Length");
    seen.is_complete = !length.empty() && std::stoul(length) == rest.size();
    return seen;
}

/// \returns A stream without the comments that replicas of these tests send,
/// which may stand anywhere.
std::string without_comments(std::string stream)
{
    const std::string comment = ": comment\n\n";
    for (std::size_t at = stream.find(comment); at != std::string::npos;
         at = stream.find(comment))
    {
        stream.erase(at, comment.size());
    }
    return stream;
}

} // namespace

broken_streams::broken_streams()
{
    for (int number = 0; number < replica_count; ++number)
    {
        this->replicas.push_back(std::make_unique<scripted_replica>(
            this->fleet.loop, [this](const std::string& request)
            { return this->next_script(request); }));
        this->fleet.store.put("servers/i-" + std::to_string(number),
                              this->replicas.back()->record("llm"));
    }
}

scripted_replica::script broken_streams::next_script(const std::string& request)
{
    const std::string id = header_field(request, "Parsleytrack-Request-Id");
    const std::string after = header_field(request, "Last-Event-Id");
    std::vector<int>& seen = this->arrivals[id];
    seen.push_back(after.empty() ? 0 : std::stoi(after));
    const std::vector<replica_answer>& attempts = this->scripts.at(id);
    return attempts[std::min(seen.size(), attempts.size()) - 1](id,
                                                                seen.back());
}

broken_streams::outcome broken_streams::send(const std::string& id,
                                             const std::string& path,
                                             const std::string& later)
{
    raw_caller caller(this->fleet.loop, this->fleet.front_address(0));
    // Each request has its own body, as losses are counted by content.
    caller.send("POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
                "Parsleytrack-Request-Id: " + id +
                "\r\nParsleytrack-Deadline-Ms: 3000\r\nConnection: close\r\n" +
                "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" +
                id);
    if (!later.empty() && caller.read_until("\n\n"))
    {
        caller.send(later);
    }
    return read_response(caller.read_until_lost());
}

broken_streams::outcome
broken_streams::call(const std::vector<replica_answer>& attempts,
                     const std::string& path, const std::string& later)
{
    outcome seen;
    // Replicas that failed requests before get none for a while, so that an
    // attempt may be missing.
    const bool was_tried = this->fleet.wait(
        [&]
        {
            const std::string id = "id" + std::to_string(this->next_request++);
            this->scripts[id] = attempts;
            seen = this->send(id, path, later);
            seen.resumed_after = this->arrivals[id];
            return seen.resumed_after.size() >= attempts.size() ||
                   (seen.is_complete && !seen.resumed_after.empty());
        });
    CHECK_TEXT(was_tried, "the request is not tried as often as it may be");
    return seen;
}

void broken_streams::apply_longest_pause(duration pause)
{
    // The new prefix shows when the configuration is in force.
    auto document =
        nlohmann::json::parse(relay_fleet::configuration(4, "/changed/"));
    document["routes"][1]["gapAimMs"] = to_milliseconds(pause);
    this->fleet.store.put("op/config", document.dump());
    CHECK(this->fleet.wait(
        [this] {
            return this->fleet.call(0, "POST", "/changed/a", "probe").status ==
                   200;
        }));
}

void broken_streams::check_resumed(const answer_case& entry)
{
    const char* name = entry.name.c_str();
    const outcome seen =
        this->call({cut_after(events_before_break), entry.answer,
                    slow_stream(std::chrono::milliseconds(1))});
    CHECK_EQUAL_TEXT(1, seen.heads, name);
    CHECK_EQUAL_TEXT(200, seen.status, name);
    STRCMP_EQUAL_TEXT(expected_stream().c_str(),
                      without_comments(seen.body).c_str(), name);
    CHECK_TEXT(seen.is_complete, name);
    STRCMP_CONTAINS_TEXT("First: 1", seen.head.c_str(), name);
}

void broken_streams::check_broken_off(const answer_case& entry)
{
    const char* name = entry.name.c_str();
    const outcome seen =
        this->call({cut_after(events_before_break), entry.answer});
    CHECK_EQUAL_TEXT(1, seen.heads, name);
    CHECK_EQUAL_TEXT(200, seen.status, name);
    const std::string body = without_comments(seen.body);
    CHECK_TEXT(expected_stream().starts_with(body), seen.body.c_str());
    CHECK_TEXT(body.ends_with("\n\n"), seen.body.c_str());
    CHECK_FALSE_TEXT(seen.is_complete, name);
}

void broken_streams::check_item(const answer_case& entry)
{
    const char* name = entry.name.c_str();
    this->scripts["job-0"] = {cut_after(events_before_break), entry.answer,
                              slow_stream(std::chrono::milliseconds(1))};
    CHECK_EQUAL_TEXT(202, this->fleet.submit(0, "job", 1).status, name);
    const auto results = this->fleet.results(0, "job");
    CHECK_EQUAL_TEXT(1, results.size(), name);
    STRCMP_EQUAL_TEXT("completed",
                      results[0]["state"].get<std::string>().c_str(), name);
    STRCMP_EQUAL_TEXT(expected_output().c_str(),
                      results[0]["output"].get<std::string>().c_str(), name);
}

} // namespace parsleytrack::relay_process
