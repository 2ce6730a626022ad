#include "daemon/seed_keeper.hpp"

#include "daemon/seed_conversion.hpp"
#include "decisions/seed_list.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration first_retry = std::chrono::seconds(3);
constexpr duration longest_retry = std::chrono::seconds(30);
constexpr duration duty_check_interval = std::chrono::seconds(60);
/// How long the listed nodes are tried before this node adds itself.
constexpr duration join_patience = std::chrono::seconds(8);
constexpr std::size_t writers = 2;

std::string key_of(const region_name& region)
{
    return "parsleytrack/nodes/" + region.str() + "/seeds";
}

} // namespace

seed_keeper::seed_keeper(node_context& node, membership& membership_view)
    : context(node), members(membership_view), started(net::event_loop::now()),
      retry_delay(first_retry)
{
    this->schedule(duration::zero());
}

void seed_keeper::schedule(duration delay)
{
    this->timer = this->context.loop.call_after(delay, [this] { this->run(); });
}

void seed_keeper::run()
{
    const bool first = this->retry_delay == first_retry;
    const auto& own = this->context.settings.id;
    const bool writes = has_duty(this->members.nodes(), own, "seeds", writers);
    const bool wanted = first || this->members.is_alone() || writes;
    this->schedule(this->next_delay());
    if (wanted && !this->context.settings.store.empty())
    {
        this->read();
    }
}

duration seed_keeper::next_delay()
{
    duration delay = duty_check_interval;
    if (this->members.is_alone())
    {
        delay = this->retry_delay;
        this->retry_delay = std::min(longest_retry, 2 * this->retry_delay);
    }
    else
    {
        this->retry_delay = 2 * first_retry;
    }
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() * 3 / 4,
                                                       delay.count() * 5 / 4);
    return duration(jitter(this->context.random));
}

void seed_keeper::read()
{
    const std::weak_ptr<bool> observed = this->lifetime;
    this->context.store.get(
        key_of(this->context.settings.region),
        [this, observed](
            const result<std::optional<key_value::versioned_value>>& found)
        {
            if (observed.expired())
            {
                return;
            }
            if (found.has_error())
            {
                this->context.metrics.count(
                    "parsleytrack_seed_reads_failed_total",
                    {{"reason", std::string(to_string(found.error().code))}});
                return;
            }
            this->take_in(found.value());
        });
}

void seed_keeper::take_in(
    const std::optional<key_value::versioned_value>& found)
{
    std::vector<seed_entry> listed;
    store_revision revision;
    if (found)
    {
        listed = decode_seeds(found->value);
        revision = found->revision;
    }
    std::vector<endpoint> addresses = this->context.settings.seeds;
    for (const seed_entry& entry : listed)
    {
        addresses.push_back(entry.peer);
    }
    this->members.set_seeds(std::move(addresses));
    const auto nodes = this->members.nodes();
    std::optional<std::vector<seed_entry>> renewed;
    if (!this->members.is_alone())
    {
        renewed = renewed_seeds(listed, nodes);
    }
    else if (listed.empty() ||
             net::event_loop::now() - this->started >= join_patience)
    {
        renewed = seeds_with(listed, this->members.own_info());
    }
    if (renewed)
    {
        this->write(*renewed, revision);
    }
}

void seed_keeper::write(const std::vector<seed_entry>& seeds,
                        store_revision expected)
{
    const std::weak_ptr<bool> observed = this->lifetime;
    this->context.store.compare_and_swap(
        key_of(this->context.settings.region), expected, encode_seeds(seeds),
        key_value::store_lease(),
        [this, observed](const result<key_value::swap_outcome>& outcome)
        {
            if (observed.expired() || outcome.has_error())
            {
                return;
            }
            if (outcome.value().applied)
            {
                log_event(log_level::info, "seeds_written");
                return;
            }
            // Another node was first; its list is used at once.
            this->schedule(duration::zero());
        });
}

} // namespace parsleytrack
