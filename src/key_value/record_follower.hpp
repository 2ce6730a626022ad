#pragma once

#include "key_value/backoff.hpp"
#include "key_value/record_client.hpp"
#include "net/event_loop.hpp"
#include "units/random_source.hpp"

#include <functional>
#include <string>

namespace parsleytrack::key_value
{

/// Keeps up with all keys of a prefix: lists them, then waits for changes, and
/// lists them anew whenever changes may have been missed.
class record_follower
{
public:
    struct callbacks
    {
        /// All keys of the prefix.
        ///
        /// \param after_failure Whether calls had failed before.
        std::function<void(const record_listing&, bool after_failure)> on_all;
        /// One change after the last listing.
        std::function<void(const record_change&)> on_change;
        /// Calls have begun to fail. Optional.
        std::function<void(const error&)> on_failure;
    };

    /// \param pause_after_changes How long changes are collected before the
    /// next ones are asked for, to spare calls.
    record_follower(net::event_loop& event_loop, record_client& client,
                    random_source& random_numbers, std::string key_prefix,
                    duration pause_after_changes, callbacks listener);

    void start();

    /// \returns When the store last confirmed what is known.
    time_point confirmed_at() const { return this->confirmed; }

private:
    void read_all();
    void wait_for_changes();
    void fail(const error& reason);

    net::event_loop& loop;
    record_client& store;
    random_source& random;
    std::string prefix;
    callbacks hooks;
    duration collecting;
    backoff pauses;
    store_revision position;
    time_point confirmed;
    bool failing = false;
    net::timer next_timer;
    net::timer retry_timer;
};

} // namespace parsleytrack::key_value
