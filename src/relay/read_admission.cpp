#include "relay/read_admission.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// One part of the memory in this many is for reads of job records.
constexpr std::int64_t memory_parts = 8;
/// A caller gains more by coming back than by waiting longer.
constexpr duration max_wait = std::chrono::seconds(1);
constexpr duration check_interval = std::chrono::milliseconds(50);
constexpr duration max_retry_after = std::chrono::seconds(3);
constexpr duration initial_mean_hold = std::chrono::milliseconds(20);
constexpr int mean_weight = 8;

} // namespace

read_admission::read_admission(net::event_loop& event_loop, byte_count memory)
    : loop(event_loop), budget(byte_count(memory.count() / memory_parts)),
      mean_hold(std::make_shared<duration>(initial_mean_hold))
{
    // Deferred, since claims end in callbacks of reads.
    this->budget.on_release(
        [this]
        {
            if (!this->waiting.empty())
            {
                this->admit_timer = this->loop.call_after(
                    duration::zero(), [this] { this->admit_waiting(); });
            }
        });
}

void read_admission::request(std::size_t bytes, callbacks listener)
{
    if (this->waiting.empty())
    {
        if (claim room = this->begin(bytes))
        {
            listener.on_admitted(std::move(room));
            return;
        }
        this->check_timer = this->loop.call_every(check_interval, [this]
                                                  { this->refuse_late(); });
    }
    const duration expected = this->expected_wait(bytes);
    if (expected > max_wait)
    {
        listener.on_refused(
            std::clamp(expected, min_retry_after, max_retry_after));
        return;
    }
    this->waiting.push_back(
        waiting_read{bytes, net::event_loop::now(), std::move(listener)});
}

duration read_admission::expected_wait(std::size_t bytes) const
{
    const auto room = static_cast<std::size_t>(this->budget.limit().count());
    const std::size_t parallel = std::max<std::size_t>(1, room / bytes);
    return *this->mean_hold *
           static_cast<std::int64_t>(this->waiting.size() / parallel + 1);
}

read_admission::claim read_admission::begin(std::size_t bytes)
{
    claim room = this->budget.take(bytes);
    if (!room)
    {
        return nullptr;
    }
    const void* const identity = room.get();
    return {identity, [mean = this->mean_hold, room,
                       began = net::event_loop::now()](const void*) mutable
            {
                const duration held = net::event_loop::now() - began;
                *mean += (held - *mean) / mean_weight;
                room.reset();
            }};
}

void read_admission::admit_waiting()
{
    while (!this->waiting.empty())
    {
        claim room = this->begin(this->waiting.front().bytes);
        if (!room)
        {
            return;
        }
        const callbacks listener = std::move(this->waiting.front().listener);
        this->waiting.pop_front();
        listener.on_admitted(std::move(room));
    }
    this->check_timer.cancel();
}

void read_admission::refuse_late()
{
    const time_point limit = net::event_loop::now() - max_wait;
    while (!this->waiting.empty() && this->waiting.front().since < limit)
    {
        const callbacks listener = std::move(this->waiting.front().listener);
        this->waiting.pop_front();
        listener.on_refused(
            std::clamp(*this->mean_hold, min_retry_after, max_retry_after));
    }
}

} // namespace parsleytrack::relay
