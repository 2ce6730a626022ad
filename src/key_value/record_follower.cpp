#include "key_value/record_follower.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value
{

namespace
{

constexpr duration initial_retry_delay = std::chrono::milliseconds(100);
/// Operators' changes must arrive within two seconds of the store being
/// reachable again; this is half of that. It is not shorter because rejected
/// calls count against the store's rate limits too, and all nodes retry during
/// an outage.
constexpr duration max_retry_delay = std::chrono::seconds(1);
/// How often the age of the last confirmation is checked.
constexpr duration confirmation_check_interval = std::chrono::milliseconds(200);
/// Wait of a call that only asks which changes there have been.
constexpr duration no_wait = std::chrono::milliseconds(1);

} // namespace

record_follower::callbacks
record_follower::each_record(std::function<void(const stored_record&)> callback)
{
    return {[callback](const record_listing& listing, bool)
            {
                for (const stored_record& record : listing.records)
                {
                    callback(record);
                }
            },
            [callback](const std::vector<record_change>& changes)
            {
                for (const record_change& change : changes)
                {
                    if (!change.deleted)
                    {
                        callback(change.record);
                    }
                }
            },
            {},
            {}};
}

record_follower::record_follower(net::event_loop& event_loop,
                                 record_client& client,
                                 random_source& random_numbers,
                                 std::string key_prefix,
                                 duration delay_after_changes,
                                 callbacks event_handlers)
    : loop(event_loop), store(client), random(random_numbers),
      prefix(std::move(key_prefix)), handlers(std::move(event_handlers)),
      collect_delay(delay_after_changes),
      retry_backoff(initial_retry_delay, max_retry_delay)
{
    this->store.on_reachability_change(
        [this](bool reachable)
        {
            if (reachable && this->running && this->waiting_to_retry)
            {
                this->retry();
            }
        });
    this->store.on_recovery([this](time_point last_failure)
                            { this->renew_watch(last_failure); });
    this->store.on_response([this](time_point sent)
                            { this->handle_other_response(sent); });
}

void record_follower::start()
{
    if (std::exchange(this->running, true))
    {
        return;
    }
    ++this->generation;
    this->confirmation_timer = this->loop.call_every(
        confirmation_check_interval, [this] { this->check_confirmation(); });
    this->read_all();
}

void record_follower::stop()
{
    this->running = false;
    this->failing = false;
    ++this->generation;
    this->waiting_to_retry = false;
    this->cancel_watch();
    this->confirmation_timer.cancel();
    this->watch_timer.cancel();
    this->retry_timer.cancel();
}

void record_follower::read_all()
{
    this->call_started = net::event_loop::now();
    this->store.list(this->prefix, read_freshness::latest,
                     [this, started_generation = this->generation](
                         const result<record_listing>& listing)
                     {
                         if (started_generation == this->generation)
                         {
                             this->handle_listing(listing);
                         }
                     });
}

void record_follower::handle_listing(const result<record_listing>& listing)
{
    if (listing.has_error())
    {
        this->handle_failure(listing.error());
        return;
    }
    if (this->failing)
    {
        log_event(log_level::info, "store_follower_recovered",
                  {{"prefix", this->prefix},
                   {"unconfirmed_ms", to_milliseconds(net::event_loop::now() -
                                                      this->confirmed_time)}});
    }
    this->position = listing.value().read_revision;
    this->confirmed_time = std::max(this->confirmed_time, this->call_started);
    this->retry_backoff.reset();
    this->handlers.on_listing(listing.value(),
                              std::exchange(this->failing, false));
    this->wait_for_changes(record_client::max_watch_wait);
}

void record_follower::wait_for_changes(duration wait)
{
    this->call_started = net::event_loop::now();
    this->watch_call =
        this->store.watch(this->prefix, this->position, wait,
                          [this](const result<record_changes>& response)
                          {
                              this->watch_call.reset();
                              this->handle_changes(response);
                          });
}

void record_follower::renew_watch(time_point last_failure)
{
    if (!this->watch_call || this->call_started > last_failure)
    {
        return;
    }
    log_event(log_level::info, "store_watch_renewed",
              {{"prefix", this->prefix},
               {"waited_ms",
                to_milliseconds(net::event_loop::now() - this->call_started)}});
    this->cancel_watch();
    this->wait_for_changes(no_wait);
}

void record_follower::check_confirmation()
{
    const time_point now = net::event_loop::now();
    if (this->watch_call &&
        now - std::max(this->confirmed_time, this->confirmation_asked) >=
            this->confirmation_interval)
    {
        this->confirmation_asked = now;
        this->store.confirm();
    }
}

void record_follower::handle_other_response(time_point sent)
{
    // A store that answers this node would have sent a change on the call that
    // waits for them, unless a call has failed since: it may then have
    // forgotten that call, and renew_watch() repeats it.
    if (this->watch_call && this->call_started <= sent)
    {
        this->record_confirmation(sent);
    }
}

void record_follower::record_confirmation(time_point confirmed)
{
    this->confirmed_time = std::max(this->confirmed_time, confirmed);
    if (this->handlers.on_confirmed)
    {
        this->handlers.on_confirmed();
    }
}

void record_follower::cancel_watch()
{
    if (const auto call = std::exchange(this->watch_call, std::nullopt))
    {
        this->store.cancel(*call);
    }
}

void record_follower::handle_changes(const result<record_changes>& response)
{
    if (response.has_error())
    {
        this->handle_watch_end(response.error());
        return;
    }
    if (response.value().history_lost)
    {
        log_event(
            log_level::info, "store_history_lost",
            {{"prefix", this->prefix}, {"after", this->position.count()}});
        this->read_all();
        return;
    }
    this->confirmed_time = net::event_loop::now();
    this->position = response.value().read_revision;
    if (!response.value().changes.empty())
    {
        this->handlers.on_changes(response.value().changes);
    }
    this->record_confirmation(this->confirmed_time);
    this->watch_timer = this->loop.call_after(
        this->collect_delay,
        [this] { this->wait_for_changes(record_client::max_watch_wait); });
}

void record_follower::handle_watch_end(const error& reason)
{
    if (!this->store.is_reachable())
    {
        this->handle_failure(reason);
        return;
    }
    // A store that works cuts calls that wait. The listing shows whether it
    // does; until then nothing counts as an outage, in which removed records
    // would be kept.
    log_event(log_level::info, "store_watch_cut",
              {{"prefix", this->prefix},
               {"reason", reason.message},
               {"waited_ms",
                to_milliseconds(net::event_loop::now() - this->call_started)}});
    this->retry_later();
}

void record_follower::handle_failure(const error& reason)
{
    if (!std::exchange(this->failing, true))
    {
        log_event(log_level::warning, "store_follower_failed",
                  {{"prefix", this->prefix},
                   {"reason", reason.message},
                   {"waited_ms", to_milliseconds(net::event_loop::now() -
                                                 this->call_started)},
                   {"known_age_ms", to_milliseconds(net::event_loop::now() -
                                                    this->confirmed_time)}});
        if (this->handlers.on_failure)
        {
            this->handlers.on_failure(reason);
        }
    }
    this->retry_later();
}

void record_follower::retry_later()
{
    this->waiting_to_retry = true;
    this->retry_timer =
        this->loop.call_after(this->retry_backoff.next_delay(this->random),
                              [this] { this->retry(); });
}

void record_follower::retry()
{
    this->waiting_to_retry = false;
    this->retry_timer.cancel();
    this->read_all();
}

} // namespace parsleytrack::key_value
