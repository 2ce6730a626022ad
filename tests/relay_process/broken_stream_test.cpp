#include "broken_streams.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_process;
using namespace parsleytrack::relay_support;

TEST_GROUP(relay_broken_streams){};

// Guards against the text of an error, or its head, in the middle of a stream
// that has begun at another replica.
TEST(relay_broken_streams, an_error_of_the_next_replica_reaches_no_stream)
{
    for (const answer_case& entry : error_answers())
    {
        broken_streams().check_resumed(entry);
        broken_streams().check_broken_off(entry);
    }
}

// Guards against an error's text in the output of an item.
TEST(relay_broken_streams, an_error_of_the_next_replica_reaches_no_output)
{
    for (const answer_case& entry : error_answers())
    {
        broken_streams().check_item(entry);
    }
}

// Guards against passing on, or taking for the end of the stream, what a
// replica sends with a success and what is no event.
TEST(relay_broken_streams, bytes_that_are_no_event_reach_no_stream)
{
    for (const answer_case& entry : answers_without_events())
    {
        broken_streams().check_resumed(entry);
        broken_streams().check_broken_off(entry);
    }
}

// The same for the output of an item, which must not look complete.
TEST(relay_broken_streams, bytes_that_are_no_event_end_no_output)
{
    for (const answer_case& entry : answers_without_events())
    {
        broken_streams().check_item(entry);
    }
}

// Guards against joining a stream with a run that does not go on where the
// stream broke off: pieces would be missing or of two runs.
TEST(relay_broken_streams, a_run_that_does_not_go_on_reaches_no_stream)
{
    for (const answer_case& entry : answers_out_of_order())
    {
        broken_streams().check_resumed(entry);
        broken_streams().check_broken_off(entry);
    }
}

// The same for the output of an item.
TEST(relay_broken_streams, a_run_that_does_not_go_on_reaches_no_output)
{
    for (const answer_case& entry : answers_out_of_order())
    {
        broken_streams().check_item(entry);
    }
}

// Guards against a stream that looks complete although no replica has said that
// it is.
TEST(relay_broken_streams, an_answer_that_is_no_stream_completes_no_stream)
{
    for (const answer_case& entry : answers_without_end())
    {
        broken_streams().check_resumed(entry);
        broken_streams().check_broken_off(entry);
    }
}

// The same for the output of an item.
TEST(relay_broken_streams, an_answer_that_is_no_stream_completes_no_output)
{
    for (const answer_case& entry : answers_without_end())
    {
        broken_streams().check_item(entry);
    }
}

// Guards against taking a run that has sent a comment only for a whole stream.
TEST(relay_broken_streams, a_comment_alone_is_no_whole_stream)
{
    broken_streams test;
    const auto outcome = test.call({whole_answer("200 OK", "", ": comment\n\n"),
                                    slow_stream(std::chrono::milliseconds(1))});
    STRCMP_EQUAL((": comment\n\n" + expected_stream()).c_str(),
                 outcome.body.c_str());
    CHECK(outcome.is_complete);
}

// Guards against sending a stream that has all its events again and again, or
// breaking it off: a whole answer without events says that none is left.
TEST(relay_broken_streams, a_whole_answer_without_events_ends_the_stream)
{
    for (const answer_case& entry : whole_answers_without_events())
    {
        const auto outcome =
            broken_streams().call({cut_after(12), entry.answer});
        STRCMP_EQUAL_TEXT(expected_stream().c_str(), outcome.body.c_str(),
                          entry.name.c_str());
        CHECK_TEXT(outcome.is_complete, entry.name.c_str());
    }
}

// Guards against an error that is passed on in parts, twice or with the head of
// the replica before.
TEST(relay_broken_streams, an_error_before_the_first_event_is_passed_on_whole)
{
    broken_streams test;
    const auto outcome =
        test.call({cut_after(0), cut_inside_first_event(),
                   whole_answer("500 Internal Server Error", "Own: 1\r\n",
                                "the replica's own text")});
    CHECK_EQUAL(1, outcome.heads);
    CHECK_EQUAL(500, outcome.status);
    CHECK(outcome.is_complete);
    STRCMP_EQUAL("the replica's own text", outcome.body.c_str());
    STRCMP_CONTAINS("Own: 1", outcome.head.c_str());
    STRCMP_CONTAINS("Parsleytrack-Response-Seal: ", outcome.head.c_str());
    CHECK(outcome.head.find("First: 1") == std::string::npos);
}

// Guards against ending streams for what is valid, if unusual.
TEST(relay_broken_streams, unusual_events_are_passed_on_unchanged)
{
    const std::string text =
        ": a comment\n\n"
        "id: 1\ndata: HTTP/1.1 500 Internal Server Error\n\n"
        "parsleytrack-weight-versions: 7\nid: 2\ndata: a\ndata: b\n\n"
        ": another\n\nid:3\ndata\n\n"
        "event: piece\nid: 5\nretry: 1000\ndata: {\"error\":\"x\"}\n\n"
        "id: 9\ndata: Content-Length: 4\n: inside\n\n";
    broken_streams test;
    for (const char* path : {"/once/a", "/stream/a"})
    {
        const auto outcome = test.call(
            {whole_answer("200 OK", "Content-Type: text/event-stream\r\n",
                          text)},
            path);
        STRCMP_EQUAL(text.c_str(), outcome.body.c_str());
        CHECK(outcome.is_complete);
    }
}

// Guards against a resumed stream that loses its later events because they are
// unusual.
TEST(relay_broken_streams, unusual_events_go_on_after_a_break)
{
    broken_streams test;
    const std::string first = "id: 2\ndata: a\n\nid: 5\ndata: b\n\n";
    const std::string second = ": comment\n\nparsleytrack-weight-versions: 8\n"
                               "id: 8\ndata: HTTP/1.1 200 OK\n\n";
    const auto outcome =
        test.call({cut_stream(first + "id: 8\ndata: HT"),
                   whole_answer("200 OK", "Content-Type: text/event-stream\r\n",
                                second)});
    STRCMP_EQUAL((first + second).c_str(), outcome.body.c_str());
    CHECK(outcome.is_complete);
    CHECK_EQUAL(5, outcome.resumed_after.back());
}

// Guards against a second head on a connection whose stream has begun: of a
// request or of bytes that the caller sends meanwhile.
TEST(relay_broken_streams, bytes_of_the_caller_put_no_head_into_its_stream)
{
    for (const std::string& bytes :
         {std::string("GET /plain/a HTTP/1.1\r\nHost: h\r\n\r\n"),
          std::string("garbage\r\n\r\n"), std::string(20'000, 'x')})
    {
        broken_streams test;
        const auto outcome = test.call(
            {slow_stream(std::chrono::milliseconds(50))}, "/stream/a", bytes);
        CHECK_EQUAL(1, outcome.heads);
        const bool is_prefix = expected_stream().starts_with(outcome.body);
        CHECK(is_prefix);
        CHECK(!outcome.is_complete || outcome.body == expected_stream());
    }
}

// Guards against ending sound streams whose pauses the route allows: each would
// be read again by further replicas and break off at the last.
TEST(relay_broken_streams, a_slow_stream_stays_at_its_replica)
{
    constexpr duration longest_pause = std::chrono::milliseconds(800);
    broken_streams test;
    test.apply_longest_pause(longest_pause);
    const auto outcome = test.call({slow_stream(longest_pause * 9 / 10, 3)});
    CHECK_EQUAL(1, outcome.resumed_after.size());
    CHECK(outcome.is_complete);
    STRCMP_EQUAL("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n",
                 outcome.body.c_str());
}

// The same where the route names the usual pause.
TEST(relay_broken_streams, pauses_between_events_end_no_stream)
{
    constexpr duration longest_pause = std::chrono::milliseconds(300);
    broken_streams test;
    test.apply_longest_pause(longest_pause);
    for (const char* path : {"/once/a", "/stream/a"})
    {
        const auto outcome =
            test.call({slow_stream(longest_pause * 9 / 10, 6)}, path);
        CHECK_EQUAL(1, outcome.resumed_after.size());
        CHECK(outcome.is_complete);
    }
}

// Guards against waiting to the deadline for a replica that sends a byte now
// and then, while another could go on with the stream.
TEST(relay_broken_streams, a_replica_that_completes_no_event_is_left)
{
    broken_streams test;
    const auto outcome =
        test.call({trickle_after(3, std::chrono::milliseconds(200)),
                   slow_stream(std::chrono::milliseconds(1))});
    CHECK_EQUAL(2, outcome.resumed_after.size());
    CHECK(outcome.is_complete);
    STRCMP_EQUAL(expected_stream().c_str(), outcome.body.c_str());
}

// Guards against a stream that completes no event and outlives its deadline
// where it may not be sent again, or looks complete.
TEST(relay_broken_streams, a_stream_that_completes_no_event_ends_in_time)
{
    broken_streams test;
    const time_point begin = net::event_loop::now();
    const auto outcome = test.call(
        {trickle_after(3, std::chrono::milliseconds(200))}, "/once/a");
    CHECK(net::event_loop::now() - begin < std::chrono::seconds(4));
    CHECK_EQUAL(1, outcome.resumed_after.size());
    CHECK_EQUAL(1, outcome.heads);
    CHECK_FALSE(outcome.is_complete);
    CHECK(expected_stream().starts_with(outcome.body));
}
