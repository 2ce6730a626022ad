#pragma once

#include "key_value/backoff.hpp"
#include "key_value/record_client.hpp"
#include "net/event_loop.hpp"
#include "units/random_source.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// Follows all keys that begin with a prefix: lists them, then waits for
/// changes, and lists them again whenever changes may have been missed. A wait
/// without changes looks the same whether there are none or the store has
/// stopped answering this node, so the store is asked for a sign of life from
/// time to time.
class record_follower
{
public:
    struct callbacks
    {
        /// All keys of the prefix.
        ///
        /// \param after_failure Whether calls had failed before this listing.
        std::function<void(const record_listing&, bool after_failure)>
            on_listing;
        /// Changes after the last listing, in order; never empty.
        std::function<void(const std::vector<record_change>&)> on_changes;
        /// Called once when calls begin to fail. Optional.
        std::function<void(const error&)> on_failure;
        /// Called when the store has confirmed that there are no other changes.
        /// Optional.
        std::function<void()> on_confirmed = {};
    };

    /// \param callback Receives each existing record that is listed or changed.
    /// \returns Callbacks that ignore deletions and failures.
    static callbacks
    each_record(std::function<void(const stored_record&)> callback);

    /// \param delay_after_changes Delay before the next call for changes, so
    /// that one call returns several changes and fewer calls are made.
    record_follower(net::event_loop& event_loop, record_client& client,
                    random_source& random_numbers, std::string key_prefix,
                    duration delay_after_changes, callbacks event_handlers);

    /// Starts following, or restarts after stop().
    void start();

    /// Stops following; no callback runs until start() is called again.
    void stop();

    bool is_running() const { return this->running; }

    /// Changes the longest delay between two attempts while calls fail; one
    /// second at first.
    void set_max_retry_delay(duration limit)
    {
        this->retry_backoff.set_max_delay(limit);
    }

    /// Changes how old the last confirmation may get before the store is asked
    /// for another one; a second at first.
    void set_confirmation_interval(duration interval)
    {
        this->confirmation_interval = interval;
    }

    /// \returns Whether the last call has failed.
    bool is_failing() const { return this->failing; }

    /// \returns The time up to which the store has confirmed that the records
    /// are complete.
    time_point confirmed_at() const { return this->confirmed_time; }

private:
    void read_all();
    void handle_listing(const result<record_listing>& listing);
    /// \param wait How long the store may hold the call open.
    void wait_for_changes(duration wait);
    /// Repeats a call for changes that the store may have forgotten.
    void renew_watch(time_point last_failure);
    void cancel_watch();
    void check_confirmation();
    /// Handles the response to a call that reads other records.
    void handle_other_response(time_point sent);
    void record_confirmation(time_point confirmed);
    void handle_changes(const result<record_changes>& response);
    /// Handles the end of a call for changes without an answer.
    void handle_watch_end(const error& reason);
    void handle_failure(const error& reason);
    void retry_later();
    void retry();

    net::event_loop& loop;
    record_client& store;
    random_source& random;
    std::string prefix;
    callbacks handlers;
    duration collect_delay;
    backoff retry_backoff;
    store_revision position;
    time_point confirmed_time;
    duration confirmation_interval = std::chrono::seconds(1);
    time_point confirmation_asked;
    time_point call_started;
    /// The pending call for changes.
    std::optional<store_call_number> watch_call;
    bool running = false;
    /// A retry is scheduled and no call is pending.
    bool waiting_to_retry = false;
    bool failing = false;
    /// Increases with each start() and stop(), so that responses to calls from
    /// before a stop() are ignored.
    std::uint64_t generation = 0;
    net::timer confirmation_timer;
    net::timer watch_timer;
    net::timer retry_timer;
};

} // namespace parsleytrack::key_value
