#include "key_value/record_follower.hpp"

#include "logging/log.hpp"

#include <utility>

namespace parsleytrack::key_value
{

namespace
{

/// Short, since operators' changes are due within two seconds of their
/// acknowledgement as soon as the store can be reached.
constexpr duration first_pause = std::chrono::milliseconds(100);
constexpr duration longest_pause = std::chrono::milliseconds(500);

} // namespace

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
}

void record_follower::start()
{
    this->read_all();
}

void record_follower::read_all()
{
    this->store.list(this->prefix, read_freshness::latest,
                     [this](result<record_listing> listing)
                     {
                         if (listing.has_error())
                         {
                             this->fail(listing.error());
                             return;
                         }
                         this->position = listing.value().read_at;
                         this->confirmed = net::event_loop::now();
                         this->pauses.reset();
                         this->hooks.on_all(
                             listing.value(),
                             std::exchange(this->failing, false));
                         this->wait_for_changes();
                     });
}

void record_follower::wait_for_changes()
{
    this->store.watch(
        this->prefix, this->position,
        [this](result<record_changes> answer)
        {
            if (answer.has_error())
            {
                this->fail(answer.error());
                return;
            }
            if (answer.value().history_lost)
            {
                log_event(log_level::info, "store_history_lost",
                          {{"prefix", this->prefix},
                           {"after", this->position.count()}});
                this->read_all();
                return;
            }
            this->confirmed = net::event_loop::now();
            this->position = answer.value().read_at;
            for (const record_change& change : answer.value().changes)
            {
                this->hooks.on_change(change);
            }
            this->next_timer = this->loop.call_after(
                this->collecting, [this] { this->wait_for_changes(); });
        });
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
    this->retry_timer = this->loop.call_after(this->pauses.next(this->random),
                                              [this] { this->read_all(); });
}

} // namespace parsleytrack::key_value
