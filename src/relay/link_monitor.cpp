#include "relay/link_monitor.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Connections that each stage of a round opens, and how long it waits for
/// them. A connection within a region opens in a few milliseconds. So many
/// replicas are tried in all since many may be silent at the same time.
struct round_stage
{
    std::size_t connections;
    duration wait;
};
constexpr std::array<round_stage, 3> stages = {
    round_stage{1, std::chrono::milliseconds(60)},
    round_stage{4, std::chrono::milliseconds(120)},
    round_stage{5, std::chrono::milliseconds(220)}};
/// With fewer replicas, their failures cannot be told from the node's own.
constexpr std::size_t min_replicas = 3;
/// Pause between two rounds, which bounds the connections that failures cause.
constexpr duration round_pause = std::chrono::milliseconds(50);
/// The same while the node is stranded.
constexpr duration stranded_pause = std::chrono::milliseconds(250);

} // namespace

link_monitor::link_monitor(net::event_loop& event_loop,
                           replica_follower& replica_list,
                           random_source& random_numbers,
                           metrics::registry& counters)
    : loop(event_loop), replicas(replica_list), random(random_numbers),
      metrics(counters)
{
}

void link_monitor::handle_failure()
{
    if (this->in_round || this->round_timer.is_set())
    {
        return;
    }
    const duration pause =
        round_pause - (net::event_loop::now() - this->round_end);
    this->round_timer = this->loop.call_after(std::max(duration::zero(), pause),
                                              [this] { this->start_round(); });
}

void link_monitor::on_change(callback listener)
{
    this->change_callbacks.push_back(std::move(listener));
}

std::vector<endpoint> link_monitor::shuffled_replicas()
{
    std::vector<endpoint> addresses;
    for (const auto& [id, entry] : this->replicas.registry().all())
    {
        addresses.push_back(entry.address);
    }
    std::shuffle(addresses.begin(), addresses.end(), this->random);
    return addresses;
}

void link_monitor::start_round()
{
    this->round_timer.cancel();
    this->in_round = true;
    this->stage = 0;
    this->failed = 0;
    this->checks.clear();
    this->untried = this->shuffled_replicas();
    if (this->untried.size() < min_replicas)
    {
        this->finish_round(true);
        return;
    }
    this->open_next();
}

void link_monitor::open_next()
{
    if (this->stage == stages.size() ||
        (this->untried.empty() && this->failed == this->checks.size()))
    {
        this->finish_round(false);
        return;
    }
    const round_stage& now = stages.at(this->stage++);
    for (std::size_t count = 0;
         count < now.connections && !this->untried.empty(); ++count)
    {
        this->checks.push_back(std::make_unique<net::connection_check>(
            this->loop, this->untried.back(),
            [this](bool opened) { this->handle_check(opened); }));
        this->untried.pop_back();
    }
    this->stage_timer =
        this->loop.call_after(now.wait, [this] { this->open_next(); });
}

void link_monitor::handle_check(bool opened)
{
    if (!this->in_round)
    {
        return;
    }
    if (opened)
    {
        this->finish_round(true);
        return;
    }
    ++this->failed;
    if (this->failed == this->checks.size())
    {
        this->stage_timer = this->loop.call_after(duration::zero(), [this]
                                                  { this->open_next(); });
    }
}

void link_monitor::finish_round(bool reaches_replicas)
{
    this->in_round = false;
    this->round_end = net::event_loop::now();
    this->stage_timer.cancel();
    // This may run in a callback of one of them.
    this->loop.free_later(
        std::make_unique<decltype(this->checks)>(std::move(this->checks)));
    this->checks.clear();
    const bool changed =
        std::exchange(this->stranded, !reaches_replicas) == reaches_replicas;
    if (this->stranded)
    {
        this->round_timer = this->loop.call_after(stranded_pause, [this]
                                                  { this->start_round(); });
    }
    if (!changed)
    {
        return;
    }
    log_event(log_level::warning,
              reaches_replicas ? "replicas_reached_again"
                               : "no_replica_reached",
              {{"replicas", this->replicas.registry().all().size()}});
    this->metrics.set_gauge("parsleytrack_stranded", {},
                            reaches_replicas ? 0.0 : 1.0);
    for (const callback& listener : this->change_callbacks)
    {
        listener(reaches_replicas);
    }
}

} // namespace parsleytrack::relay
