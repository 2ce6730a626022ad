#pragma once

#include <memory>

namespace parsleytrack::net
{

namespace detail
{
struct timer_state;
struct timer_state_deleter
{
    void operator()(timer_state* state) const;
};
} // namespace detail

/// A pending callback on the event loop; destroying the timer cancels it. The
/// callback may destroy its own timer.
class timer
{
public:
    timer() = default;

    /// \param owned The registration with the loop.
    explicit timer(
        std::unique_ptr<detail::timer_state, detail::timer_state_deleter> owned)
        : state(std::move(owned))
    {
    }

    /// Cancels the callback if it is still pending.
    void cancel() { this->state.reset(); }

    /// \returns Whether the timer was set and not cancelled. Stays true after a
    /// one-shot timer has fired.
    bool is_set() const { return this->state != nullptr; }

private:
    std::unique_ptr<detail::timer_state, detail::timer_state_deleter> state;
};

} // namespace parsleytrack::net
