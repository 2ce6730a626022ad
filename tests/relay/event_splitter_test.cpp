#include "relay/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack::relay;

TEST_GROUP(event_splitter)
{
    event_splitter splitter;
};

TEST(event_splitter, splits_events_cut_at_any_byte)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
                             ": a comment\n\nid: 3\ndata:\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut)
    {
        event_splitter fresh;
        std::vector<stream_event> events = fresh.feed(text.substr(0, cut));
        for (stream_event& event : fresh.feed(text.substr(cut)))
        {
            events.push_back(std::move(event));
        }
        CHECK_EQUAL(4, events.size());
        CHECK_EQUAL(1, *events[0].number);
        STRCMP_EQUAL("a", events[0].data.c_str());
        STRCMP_EQUAL("b\nc", events[1].data.c_str());
        CHECK_FALSE(events[2].number.has_value());
        STRCMP_EQUAL("", events[3].data.c_str());
        CHECK_FALSE(fresh.has_partial_event());
        std::string raw;
        for (const stream_event& event : events)
        {
            raw += event.raw;
        }
        STRCMP_EQUAL(text.c_str(), raw.c_str());
    }
}

TEST(event_splitter, buffers_an_incomplete_event)
{
    CHECK(this->splitter.feed("id: 1\ndata: a\n").empty());
    CHECK(this->splitter.has_partial_event());
    CHECK_EQUAL(1, this->splitter.feed("\n").size());
    CHECK_FALSE(this->splitter.has_partial_event());
}

TEST(event_splitter, detects_an_event_over_the_size_limit)
{
    this->splitter.feed(std::string(event_splitter::max_event_bytes + 1, 'x'));
    CHECK(this->splitter.is_too_long());
}

// Guards against taking an error's head or text for an event.
TEST(event_splitter, knows_what_is_no_event)
{
    for (const char* text :
         {"HTTP/1.1 500 Internal Server Error\n\n",
          "id: 4\ndata: tHTTP/1.1 500 E\r\nContent-Length: 4\r\n\r\na\n\n",
          "id: 4\ndata: a\r\ncontent-length: 4\r\n\r\na\n\n",
          "{\"error\":\"failed\"}\n\n", "upstream failed\n\n", "failed\n\n",
          "error: 500\n\n", "id: 4\ndata: a\n<html>\n\n"})
    {
        const auto events = event_splitter().feed(text);
        CHECK_EQUAL_TEXT(1, events.size(), text);
        CHECK_FALSE_TEXT(events[0].is_sound, text);
    }
}

// Guards against ending streams for unusual events that are valid.
TEST(event_splitter, knows_unusual_events)
{
    for (const char* text :
         {": a comment\n\n", ":\n\n", "id: 4\ndata\n\n", "id:4\ndata:\n\n",
          "parsleytrack-weight-versions: 7\nid: 4\ndata: a\n\n",
          "event: piece\ndata: a\n\n", "retry: 1000\n\n",
          "id: 4\ndata: HTTP/1.1 500 Internal Server Error\n\n",
          "\nid: 4\n: inside\ndata: {\"error\":\"x\"}\n\n",
          "id: 4\r\ndata: a\r\n\n"})
    {
        const auto events = event_splitter().feed(text);
        CHECK_EQUAL_TEXT(1, events.size(), text);
        CHECK_TEXT(events[0].is_sound, text);
    }
}
