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

/// The one loop on which all of a process's sockets and timers run.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();

    /// Runs what is ready now, or waits at most a given time for something.
    ///
    /// \param wait The longest time to wait.
    void run_for(duration wait);

    /// Makes run() return after the current callback.
    void stop();

    /// \returns The time of the monotonic clock.
    static time_point now();

    /// Calls a function once, after a delay.
    ///
    /// \param delay The time to wait; zero or less means "as soon as possible".
    /// \param callback What is called.
    /// \returns The timer; destroying it cancels the call.
    [[nodiscard]] timer call_after(duration delay,
                                   std::function<void()> callback);

    /// Calls a function again and again.
    ///
    /// \param interval The time between two calls; above zero.
    /// \param callback What is called.
    /// \returns The timer; destroying it ends the calls.
    [[nodiscard]] timer call_every(duration interval,
                                   std::function<void()> callback);

    /// Calls a function after the current callback has returned.
    ///
    /// \param callback What is called.
    void post(std::function<void()> callback);

    /// Frees an object after the current callback has returned, which may be
    /// one of the object's own.
    template <class Object>
    void free_later(std::unique_ptr<Object> object)
    {
        this->post([kept = std::shared_ptr<Object>(std::move(object))]() mutable
                   { kept.reset(); });
    }

    /// Calls a function when a signal arrives.
    ///
    /// \param signal_number Such as SIGTERM.
    /// \param callback What is called.
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
