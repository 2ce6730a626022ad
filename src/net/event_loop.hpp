#pragma once

#include "net/timer.hpp"
#include "units/time.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <utility>

struct event;
struct event_base;

namespace parsleytrack::net
{

namespace detail
{
struct event_base_deleter
{
    void operator()(event_base* base) const;
};
} // namespace detail

/// The event loop that runs all sockets and timers of a process.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();

    /// Runs the callbacks that are ready, or waits for the first one.
    ///
    /// \param wait The maximum time to wait.
    void run_for(duration wait);

    /// Makes run() return after the current callback.
    void stop();

    /// \returns The current time of the monotonic clock.
    static time_point now();

    /// Calls a function once, after a delay.
    ///
    /// \param delay The time to wait; zero or less means "as soon as possible".
    /// \returns The timer; destroying it cancels the call.
    [[nodiscard]] timer call_after(duration delay,
                                   std::function<void()> callback);

    /// Calls a function periodically.
    ///
    /// \param interval The time between two calls; above zero.
    /// \returns The timer; destroying it ends the calls.
    [[nodiscard]] timer call_every(duration interval,
                                   std::function<void()> callback);

    /// Calls a function after the current callback has returned.
    void post(std::function<void()> callback);

    /// Destroys an object after the current callback has returned; the callback
    /// may belong to the object itself.
    template <class Object>
    void free_later(std::unique_ptr<Object> object)
    {
        this->post([kept = std::shared_ptr<Object>(std::move(object))]() mutable
                   { kept.reset(); });
    }

    /// Defers a signal until a function for it is registered with on_signal(),
    /// so that it does not end a process that is still starting.
    static void defer_signal(int signal_number);

    /// Calls a function whenever a signal arrives, also for one that was
    /// deferred.
    ///
    /// \param signal_number Such as SIGTERM.
    /// \returns The registration; destroying it ends the calls.
    [[nodiscard]] timer on_signal(int signal_number,
                                  std::function<void()> callback);

    /// \returns The libevent base, for the other classes of this package.
    event_base* base() { return this->base_handle.get(); }

private:
    void run_posted();

    std::unique_ptr<event_base, detail::event_base_deleter> base_handle;
    std::deque<std::function<void()>> posted;
    event* post_event = nullptr;
};

} // namespace parsleytrack::net
