#pragma once

#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/scripted_replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay_process
{

/// Makes what a replica writes for a request.
///
/// \param id Id of the request.
/// \param after Number of the event after which it is to go on.
using replica_answer = std::function<relay_support::scripted_replica::script(
    const std::string& id, int after)>;

/// The answer of a replica at which a stream cannot go on.
struct answer_case
{
    std::string name;
    replica_answer answer;
};

/// \returns Failures of all kinds, and connections that end without a response.
std::vector<answer_case> error_answers();

/// \returns Answers of 200 that contain bytes that are no event.
std::vector<answer_case> answers_without_events();

/// \returns Streams that do not begin with the event that is due.
std::vector<answer_case> answers_out_of_order();

/// \returns Answers of 2xx that do not say that the stream is complete.
std::vector<answer_case> answers_without_end();

/// \returns Whole answers of 200 without events.
std::vector<answer_case> whole_answers_without_events();

/// \returns The stream up to an event, after which the connection is reset.
replica_answer cut_after(int last_event);

/// \returns A stream of the given bytes, after which the connection is reset.
replica_answer cut_stream(const std::string& text);
replica_answer cut_inside_first_event();

/// \returns A response with a length.
replica_answer whole_answer(const std::string& status,
                            const std::string& fields, const std::string& body);

/// \returns The stream from the event that is due to the last, one event at a
/// time, with a pause before each.
replica_answer
slow_stream(duration pause,
            int last_event = relay_support::replica_stand_in::stream_events);

/// \returns The stream up to an event and then a byte at a time of the next
/// event, which never ends.
replica_answer trickle_after(int last_event, duration interval);

/// A node and replicas that answer the attempts at each request in turn.
class broken_streams
{
public:
    struct outcome
    {
        /// Number of response heads on the connection, and the first of them.
        int heads = 0;
        std::string head;
        int status = 0;
        std::string body;
        bool is_complete = false;
        /// Number of the event after which each attempt was to go on.
        std::vector<int> resumed_after;
    };

    broken_streams();

    /// Sends a request and reads its response up to the end of the connection.
    ///
    /// \param attempts What the replicas answer, the last one also to further
    /// attempts.
    /// \param later Bytes that the caller sends once the response has begun.
    outcome call(const std::vector<replica_answer>& attempts,
                 const std::string& path = "/stream/a",
                 const std::string& later = "");

    /// Sets the longest pause between events that the route for streams names.
    void apply_longest_pause(duration pause);

    /// Checks that a stream that broke off goes on past this answer.
    void check_resumed(const answer_case& entry);

    /// Checks that a stream that gets no other answer does not look complete.
    void check_broken_off(const answer_case& entry);

    /// Checks that the output of an item is whole in spite of this answer.
    void check_item(const answer_case& entry);

    relay_support::relay_fleet fleet{
        relay_support::relay_fleet_options{.engine_count = 0}};

private:
    relay_support::scripted_replica::script
    next_script(const std::string& request);
    outcome send(const std::string& id, const std::string& path,
                 const std::string& later);

    std::map<std::string, std::vector<replica_answer>> scripts;
    std::map<std::string, std::vector<int>> arrivals;
    int next_request = 0;
    std::vector<std::unique_ptr<relay_support::scripted_replica>> replicas;
};

} // namespace parsleytrack::relay_process
