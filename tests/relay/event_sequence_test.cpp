#include "relay/event_sequence.hpp"
#include "relay/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack::relay;

namespace
{

/// \returns Whether all events of a text can be taken.
bool takes(event_sequence& sequence, const std::string& text)
{
    event_splitter splitter;
    for (const stream_event& event : splitter.feed(text))
    {
        if (sequence.append(event) != nullptr)
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(event_sequence)
{
    event_sequence online{event_numbering::increasing};
    event_sequence output{event_numbering::consecutive};
};

// Guards against breaking off streams whose numbers increase by more than one.
TEST(event_sequence, increasing_numbers_may_leave_out_some)
{
    CHECK(takes(this->online, "id: 2\ndata: a\n\nid: 5\ndata: b\n\n"));
    this->online.begin_run();
    CHECK(takes(this->online, ": c\n\nid: 9\ndata: c\n\ndata: d\n\n"));
    CHECK_EQUAL(9, this->online.last_number());
}

// Guards against joining runs between which a piece is missing.
TEST(event_sequence, a_further_run_goes_on_with_the_next_number)
{
    const std::string begin = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (const char* next : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                             "id: 4\ndata: d\n\n", "data: c\n\n"})
    {
        event_sequence sequence(event_numbering::increasing);
        CHECK(takes(sequence, begin));
        sequence.begin_run();
        CHECK_FALSE(takes(sequence, next));
        CHECK_EQUAL(2, sequence.last_number());
        CHECK_FALSE(sequence.run_has_events());
        CHECK(takes(sequence, "id: 3\ndata: c\n\n"));
    }
}

// Guards against a piece that comes twice within one run.
TEST(event_sequence, numbers_never_go_back)
{
    CHECK(takes(this->online, "id: 3\ndata: a\n\n"));
    CHECK_FALSE(takes(this->online, "id: 3\ndata: a\n\n"));
    CHECK_FALSE(takes(this->online, "id: 1\ndata: a\n\n"));
}

// Guards against an output that lacks an event, also the first.
TEST(event_sequence, consecutive_numbers_leave_out_none)
{
    CHECK_FALSE(takes(this->output, "id: 2\ndata: b\n\n"));
    CHECK_FALSE(takes(this->output, "data: a\n\n"));
    CHECK(takes(this->output, ": c\n\nid: 1\ndata: a\n\n"));
    CHECK_FALSE(takes(this->output, "id: 3\ndata: c\n\n"));
    event_sequence resumed(event_numbering::consecutive, 7);
    CHECK_FALSE(takes(resumed, "id: 9\ndata: i\n\n"));
    CHECK(takes(resumed, "id: 8\ndata: h\n\n"));
}

// Guards against taking comments for events of a run.
TEST(event_sequence, comments_are_no_events)
{
    CHECK(takes(this->online, ": a\n: b\n\n"));
    CHECK_FALSE(this->online.has_events());
    CHECK(takes(this->online, "data: a\n\n"));
    CHECK(this->online.has_events());
}
