#include "net/event_loop.hpp"

#include "units/invariant.hpp"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace parsleytrack::net
{

namespace detail
{

struct timer_state
{
    event* handle = nullptr;
    std::shared_ptr<std::function<void()>> callback;
};

void event_base_deleter::operator()(event_base* base) const
{
    event_base_free(base);
}

void timer_state_deleter::operator()(timer_state* state) const
{
    event_free(state->handle);
    delete state;
}

namespace
{

timeval to_timeval(duration span)
{
    const auto count = span.count() > 0 ? span.count() : 0;
    timeval value{};
    value.tv_sec = count / 1'000'000;
    value.tv_usec = count % 1'000'000;
    return value;
}

void call_timer(evutil_socket_t, short, void* argument)
{
    auto* state = static_cast<timer_state*>(argument);
    // Keeps the callback alive, since it may destroy its own timer.
    const auto callback = state->callback;
    (*callback)();
}

/// \param how SIG_BLOCK or SIG_UNBLOCK.
void change_signal_mask(int how, int signal_number)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, signal_number);
    check_invariant(pthread_sigmask(how, &signals, nullptr) == 0,
                    "pthread_sigmask() must succeed");
}

timer make_timer(event_base* base, int descriptor, short flags,
                 const timeval* interval, std::function<void()> callback)
{
    std::unique_ptr<timer_state, timer_state_deleter> state(new timer_state);
    state->callback =
        std::make_shared<std::function<void()>>(std::move(callback));
    state->handle = event_new(base, descriptor, flags, call_timer, state.get());
    check_invariant(state->handle != nullptr, "event_new() must succeed");
    event_add(state->handle, interval);
    return timer(std::move(state));
}

} // namespace

} // namespace detail

event_loop::event_loop() : base_handle(event_base_new())
{
    check_invariant(this->base_handle != nullptr,
                    "event_base_new() must succeed");
    this->post_event = event_new(
        this->base(), -1, 0,
        [](evutil_socket_t, short, void* argument)
        { static_cast<event_loop*>(argument)->run_posted(); },
        this);
}

event_loop::~event_loop()
{
    this->posted.clear();
    event_free(this->post_event);
}

void event_loop::run()
{
    event_base_loop(this->base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::run_for(duration wait)
{
    const timer limit = this->call_after(wait, [] {});
    event_base_loop(this->base(), EVLOOP_ONCE);
}

void event_loop::stop()
{
    event_base_loopbreak(this->base());
}

time_point event_loop::now()
{
    const auto since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

timer event_loop::call_after(duration delay, std::function<void()> callback)
{
    const timeval interval = detail::to_timeval(delay);
    return detail::make_timer(this->base(), -1, 0, &interval,
                              std::move(callback));
}

timer event_loop::call_every(duration interval, std::function<void()> callback)
{
    const timeval value = detail::to_timeval(interval);
    return detail::make_timer(this->base(), -1, EV_PERSIST, &value,
                              std::move(callback));
}

void event_loop::defer_signal(int signal_number)
{
    detail::change_signal_mask(SIG_BLOCK, signal_number);
}

timer event_loop::on_signal(int signal_number, std::function<void()> callback)
{
    timer registration =
        detail::make_timer(this->base(), signal_number, EV_SIGNAL | EV_PERSIST,
                           nullptr, std::move(callback));
    detail::change_signal_mask(SIG_UNBLOCK, signal_number);
    return registration;
}

void event_loop::post(std::function<void()> callback)
{
    this->posted.push_back(std::move(callback));
    event_active(this->post_event, 0, 0);
}

void event_loop::run_posted()
{
    std::deque<std::function<void()>> batch;
    batch.swap(this->posted);
    for (const auto& callback : batch)
    {
        callback();
    }
}

} // namespace parsleytrack::net
