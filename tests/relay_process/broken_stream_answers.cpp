// What the replicas of the tests of broken streams answer.

#include "broken_streams.hpp"

#include <array>
#include <utility>

namespace parsleytrack::relay_process
{

using namespace relay_support;

namespace
{

using script = scripted_replica::script;
using ending = scripted_replica::ending;

constexpr const char* event_stream = "Content-Type: text/event-stream\r\n";
constexpr const char* chunked = "Transfer-Encoding: chunked\r\n";
constexpr const char* last_chunk = "0\r\n\r\n";
constexpr const char* error_head =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    "Content-Length: 8\r\n\r\nfailed\n\n";

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
    {
        text += "id: " + std::to_string(number) + "\ndata: t" +
                std::to_string(number) + "\n\n";
    }
    return text;
}

std::string head(const std::string& status, const std::string& id,
                 const std::string& fields)
{
    return "HTTP/1.1 " + status + "\r\nParsleytrack-Request-Id: " + id +
           "\r\nParsleytrack-Response-Seal: seal-" + id + "\r\n" + fields +
           "\r\n";
}

std::string chunk(const std::string& text)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string length;
    for (std::size_t rest = text.size(); rest > 0; rest /= 16)
    {
        length.insert(length.begin(), digits[rest % 16]);
    }
    return length + "\r\n" + text + "\r\n";
}

std::string length_of(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// \returns Bytes that do not depend on the request.
replica_answer raw_answer(const std::string& bytes, ending end)
{
    return [=](const std::string&, int)
    {
        return script{{{{}, bytes}}, end};
    };
}

replica_answer without_length(const std::string& status,
                              const std::string& fields,
                              const std::string& body)
{
    return [=](const std::string& id, int)
    {
        return script{{{{}, head(status, id, fields) + body}}, ending::closed};
    };
}

replica_answer in_chunks(const std::string& status, const std::string& fields,
                         const std::string& body)
{
    return [=](const std::string& id, int)
    {
        return script{{{{},
                        head(status, id, fields + chunked) +
                            (body.empty() ? "" : chunk(body)) + last_chunk}}};
    };
}

/// A stream whose text depends on the event after which it is to go on.
template <class Text>
std::array<answer_case, 2> stream_of(std::string name, Text text)
{
    return {
        {{name + ", in chunks",
          [text](const std::string& id, int after)
          {
              return script{
                  {{{},
                    head("200 OK", id, std::string(event_stream) + chunked) +
                        chunk(text(after)) + last_chunk}}};
          }},
         {name + ", without a length", [text](const std::string& id, int after)
          {
              return script{
                  {{{}, head("200 OK", id, event_stream) + text(after)}},
                  ending::closed};
          }}}};
}

template <class Text>
void add_streams(std::vector<answer_case>& cases, const std::string& name,
                 Text text)
{
    for (answer_case& entry : stream_of(name, std::move(text)))
    {
        cases.push_back(std::move(entry));
    }
}

} // namespace

replica_answer whole_answer(const std::string& status,
                            const std::string& fields, const std::string& body)
{
    return [=](const std::string& id, int)
    {
        return script{
            {{{}, head(status, id, fields + length_of(body)) + body}}};
    };
}

replica_answer cut_stream(const std::string& text)
{
    return [=](const std::string& id, int)
    {
        const std::string fields =
            std::string("First: 1\r\n") + event_stream + chunked;
        return script{{{{}, head("200 OK", id, fields) + chunk(text)}},
                      ending::closed};
    };
}

replica_answer cut_after(int last_event)
{
    return [=](const std::string& id, int after)
    {
        const std::string text = events(1, last_event);
        return text.empty()
                   ? script{{{{},
                              head("200 OK", id,
                                   std::string("First: 1\r\n") + chunked)}},
                            ending::closed}
                   : cut_stream(text)(id, after);
    };
}

replica_answer cut_inside_first_event()
{
    return cut_stream("id: 1\ndata: t");
}

replica_answer slow_stream(duration pause, int last_event)
{
    return [=](const std::string& id, int after)
    {
        script written;
        const std::string fields =
            std::string("First: 1\r\n") + event_stream + chunked;
        written.steps.push_back({{}, head("200 OK", id, fields)});
        for (int number = after + 1; number <= last_event; ++number)
        {
            written.steps.push_back({pause, chunk(events(number, number))});
        }
        written.steps.push_back({{}, last_chunk});
        return written;
    };
}

replica_answer trickle_after(int last_event, duration interval)
{
    return [=](const std::string& id, int after)
    {
        constexpr int most_bytes = 1000;
        script written = cut_after(last_event)(id, after);
        written.end = ending::open;
        written.steps.push_back(
            {{}, chunk("id: " + std::to_string(last_event + 1) + "\ndata: ")});
        written.steps.insert(written.steps.end(), most_bytes,
                             {interval, chunk("x")});
        return written;
    };
}

std::vector<answer_case> error_answers()
{
    const std::string failed = "500 Internal Server Error";
    const std::string as_event = "id: 4\ndata: failed\n\n";
    std::vector<answer_case> cases;
    for (const char* status :
         {"500 Internal Server Error", "502 Bad Gateway", "504 Gateway Timeout",
          "404 Not Found", "400 Bad Request"})
    {
        cases.push_back({status, whole_answer(status, "", "failed\n\n")});
    }
    cases.push_back(
        {"in event form", whole_answer(failed, event_stream, as_event)});
    cases.push_back({"in chunks", in_chunks(failed, event_stream, as_event)});
    cases.push_back(
        {"without a length", without_length(failed, "", "failed\n\n")});
    cases.push_back(
        {"no body", [failed](const std::string& id, int)
         {
             return script{{{{}, head(failed, id, "Content-Length: 9\r\n")}}};
         }});
    cases.push_back(
        {"unsigned",
         raw_answer("HTTP/1.1 500 E\r\nContent-Length: 20\r\n\r\n" + as_event,
                    ending::open)});
    cases.push_back({"unsigned success",
                     raw_answer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"
                                "Content-Type: text/event-stream\r\n\r\n" +
                                    as_event,
                                ending::open)});
    cases.push_back(
        {"another request's",
         raw_answer(head(failed, "other", length_of(as_event)) + as_event,
                    ending::open)});
    cases.push_back({"not executed",
                     whole_answer("503 Service Unavailable",
                                  "Parsleytrack-Not-Executed: 1\r\n", "full")});
    cases.push_back(
        {"misdirected", whole_answer("421 Misdirected Request", "", "other")});
    cases.push_back({"after 100", [failed](const std::string& id, int)
                     {
                         return script{
                             {{{},
                               "HTTP/1.1 100 Continue\r\n\r\n" +
                                   head(failed, id, "Content-Length: 8\r\n") +
                                   "failed\n\n"}}};
                     }});
    cases.push_back({"reset", raw_answer("", ending::reset)});
    cases.push_back({"closed", raw_answer("", ending::closed)});
    cases.push_back({"no response", raw_answer("failed\n\n", ending::closed)});
    return cases;
}

std::vector<answer_case> answers_without_events()
{
    std::vector<answer_case> cases;
    for (const char* type : {"", "Content-Type: application/json\r\n",
                             "Content-Type: text/event-stream\r\n"})
    {
        cases.push_back(
            {std::string("json as ") + type,
             whole_answer("200 OK", type, "{\"error\":\"failed\"}\n\n")});
    }
    cases.push_back({"text", whole_answer("200 OK",
                                          "Content-Type: text/plain"
                                          "\r\n",
                                          "upstream failed\n\n")});
    cases.push_back({"text like a field",
                     whole_answer("200 OK", event_stream, "error: 500\n\n")});
    add_streams(cases, "a head between events",
                [](int after)
                { return events(after + 1, after + 3) + error_head; });
    add_streams(cases, "a head inside an event",
                [](int after)
                {
                    return events(after + 1, after + 3) +
                           "id: " + std::to_string(after + 4) +
                           "\ndata: " + error_head;
                });
    add_streams(cases, "events after a head",
                [](int after) {
                    return events(after + 1, after + 3) + error_head +
                           events(after + 4, 12);
                });
    cases.push_back(
        {"a head between chunks", [](const std::string& id, int after)
         {
             return script{
                 {{{},
                   head("200 OK", id, std::string(event_stream) + chunked) +
                       chunk(events(after + 1, after + 3)) + error_head}}};
         }});
    return cases;
}

std::vector<answer_case> answers_out_of_order()
{
    std::vector<answer_case> cases;
    add_streams(cases, "from the first event",
                [](int) { return events(1, 12); });
    add_streams(cases, "from the event before",
                [](int after) { return events(after, 12); });
    add_streams(cases, "from the event after the next",
                [](int after) { return events(after + 2, 12); });
    add_streams(cases, "without numbers",
                [](int after)
                {
                    return "data: t" + std::to_string(after + 1) + "\n\n" +
                           events(after + 2, 12);
                });
    add_streams(cases, "going back",
                [](int after) {
                    return events(after + 1, after + 3) + events(after + 2, 12);
                });
    return cases;
}

std::vector<answer_case> answers_without_end()
{
    return {{"no bytes", without_length("200 OK", event_stream, "")},
            {"a comment only",
             without_length("200 OK", event_stream, ": comment\n\n")},
            {"json",
             whole_answer("200 OK", "Content-Type: application/json\r\n", "")},
            {"no content", whole_answer("204 No Content", "", "")},
            {"accepted", whole_answer("202 Accepted", event_stream, "")}};
}

std::vector<answer_case> whole_answers_without_events()
{
    return {{"with a length", whole_answer("200 OK", event_stream, "")},
            {"in chunks", in_chunks("200 OK", event_stream, "")}};
}

} // namespace parsleytrack::relay_process
