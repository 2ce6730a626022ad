#include "key_value/record_follower.hpp"

#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::key_value
{

namespace
{

constexpr duration first_pause = std::chrono::milliseconds(100);
/// Half of the two seconds in which operators' changes are due once the store
/// can be reached. Refused calls count against the store's rates as well, and
/// all nodes make them during an outage.
constexpr duration longest_pause = std::chrono::seconds(1);

} // namespace

record_follower::callbacks
record_follower::each_record(std::function<void(const stored_record&)> take)
{
    return {[take](const record_listing& listing, bool)
            {
                for (const stored_record& record : listing.records)
                {
                    take(record);
                }
            },
            [take](const std::vector<record_change>& changes)
            {
                for (const record_change& change : changes)
                {
                    if (!change.deleted)
                    {
                        take(change.record);
                    }
                }
            },
            {}};
}

record_follower::record_follower(net::event_loop& event_loop,
                                 record_client& client,
                                 random_source& random_numbers,
                                 std::string key_prefix,
                                 duration pause_after_changes,
                                 callbacks listener)
    : loop(event_loop), store(client), random(random_numbers),
      prefix(std::move(key_prefix)), hooks(std::move(listener)),
      collecting(pause_after_changes), pauses(first_pause, longest_pause)
{
    this->store.on_reach_change(
        [this](bool reachable)
        {
            if (reachable && this->running && this->pausing)
            {
                this->retry();
            }
        });
}

void record_follower::start()
{
    if (std::exchange(this->running, true))
    {
        return;
    }
    ++this->run;
    this->read_all();
}

void record_follower::stop()
{
    this->running = false;
    this->failing = false;
    ++this->run;
    this->pausing = false;
    this->next_timer.cancel();
    this->retry_timer.cancel();
}

void record_follower::read_all()
{
    this->store.list(
        this->prefix, read_freshness::latest,
        [this, started_in = this->run](const result<record_listing>& listing)
        {
            if (started_in == this->run)
            {
                this->take_all(listing);
            }
        });
}

void record_follower::take_all(const result<record_listing>& listing)
{
    if (listing.has_error())
    {
        this->fail(listing.error());
        return;
    }
    this->position = listing.value().read_at;
    this->confirmed = net::event_loop::now();
    this->pauses.reset();
    this->hooks.on_all(listing.value(), std::exchange(this->failing, false));
    this->wait_for_changes();
}

void record_follower::wait_for_changes()
{
    this->store.watch(
        this->prefix, this->position,
        [this, started_in = this->run](const result<record_changes>& answer)
        {
            if (started_in == this->run)
            {
                this->take_changes(answer);
            }
        });
}

void record_follower::take_changes(const result<record_changes>& answer)
{
    if (answer.has_error())
    {
        this->fail(answer.error());
        return;
    }
    if (answer.value().history_lost)
    {
        log_event(
            log_level::info, "store_history_lost",
            {{"prefix", this->prefix}, {"after", this->position.count()}});
        this->read_all();
        return;
    }
    this->confirmed = net::event_loop::now();
    this->position = answer.value().read_at;
    if (!answer.value().changes.empty())
    {
        this->hooks.on_changes(answer.value().changes);
    }
    this->next_timer = this->loop.call_after(this->collecting, [this]
                                             { this->wait_for_changes(); });
}

void record_follower::fail(const error& reason)
{
    if (!std::exchange(this->failing, true))
    {
        log_event(log_level::warning, "store_follower_failed",
                  {{"prefix", this->prefix},
                   {"reason", reason.message},
                   {"known_age_ms", to_milliseconds(net::event_loop::now() -
                                                    this->confirmed)}});
        if (this->hooks.on_failure)
        {
            this->hooks.on_failure(reason);
        }
    }
    this->pausing = true;
    this->retry_timer = this->loop.call_after(this->pauses.next(this->random),
                                              [this] { this->retry(); });
}

void record_follower::retry()
{
    this->pausing = false;
    this->retry_timer.cancel();
    this->read_all();
}

} // namespace parsleytrack::key_value
