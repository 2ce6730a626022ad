#pragma once

#include "decisions/fair_queue.hpp"
#include "decisions/latency_average.hpp"
#include "units/error_code.hpp"

#include <optional>

namespace parsleytrack
{

/// Says whether an online request can still be answered in time, and when to
/// ask again if not.
class admission
{
public:
    /// Why a request is refused, and when asking again may help.
    struct refusal
    {
        error_code reason = error_code::overloaded;
        duration retry_after = duration::zero();
    };

    /// \param queue_limit Most requests that may wait.
    explicit admission(int queue_limit);

    /// Records a request's time on the replica.
    void occupied(duration slot_time);

    /// Records the time from sending a request to its first output.
    void first_output(duration latency);

    /// Decides on a new request.
    ///
    /// \param work The request.
    /// \param queue What waits before it.
    /// \param online_slots Slots that online work can use.
    /// \param free_slots Slots that are free now or can be taken from batch.
    /// \param now The time.
    /// \returns The refusal; nothing when the request is to be queued.
    std::optional<refusal> refuse(const gate_work& work,
                                  const fair_queue& queue, int online_slots,
                                  int free_slots, time_point now) const;

    /// \param ahead Requests that go first.
    /// \returns Time until a request would give its first output.
    duration predict(int ahead, int online_slots, int free_slots) const;

    /// \returns Time in which one waiting request leaves the queue.
    duration drain_interval(int online_slots) const;

    /// \returns Average time from sending to the first output.
    duration first_output_latency() const { return this->latency.value(); }

    /// \returns Whether the queue is at its limit.
    bool full(const fair_queue& queue) const
    {
        return queue.size() >= this->queue_limit;
    }

private:
    duration retry_after(int excess, int online_slots) const;

    int queue_limit;
    latency_average slot_time;
    latency_average latency;
};

} // namespace parsleytrack
