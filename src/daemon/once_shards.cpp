#include "daemon/once_shards.hpp"

#include "daemon/once_codec.hpp"
#include "decisions/rendezvous.hpp"
#include "units/wall_clock.hpp"

#include <vector>

namespace parsleytrack
{

namespace
{

constexpr int shard_count = 256;
constexpr duration tick_interval = std::chrono::milliseconds(50);
/// How long a resent call waits for the answer of the first.
constexpr duration longest_wait = std::chrono::seconds(2);
constexpr duration acquire_limit = std::chrono::seconds(4);
constexpr duration record_limit = std::chrono::seconds(15);
/// A page that is not used is read anew, since another node may have changed
/// it.
constexpr duration page_lifetime = std::chrono::seconds(10);

std::string page_key(int shard)
{
    return "parsleytrack/once/" + std::to_string(shard);
}

result<seen_once_page>
decode_page(const std::optional<key_value::versioned_value>& value)
{
    if (!value)
    {
        return seen_once_page();
    }
    auto page = decode_once_page(value->value);
    if (page.has_error())
    {
        return page.error();
    }
    return seen_once_page{std::move(page.value()), value->revision};
}

} // namespace

once_shards::once_shards(node_context& node) : context(node)
{
    this->timer = node.loop.call_every(tick_interval, [this] { this->tick(); });
}

int once_shards::shard_of(const std::string& key)
{
    return static_cast<int>(rendezvous_score("once", key) %
                            static_cast<std::uint64_t>(shard_count));
}

void once_shards::submit(once_operation operation, callback done)
{
    const time_point now = net::event_loop::now();
    operation.wait_until = now + longest_wait;
    operation.give_up_at =
        now + (operation.what == once_operation::kind::acquire ? acquire_limit
                                                               : record_limit);
    const int shard = shard_of(operation.key);
    std::shared_ptr<open_page>& page = this->pages[shard];
    if (!page)
    {
        page = std::make_shared<open_page>(
            [this](const node_id& id)
            {
                const node_info* node = this->context.fleet.find_node(id);
                return node != nullptr && node->state == node_state::dead;
            });
    }
    page->last_used = now;
    const auto number = page->ledger.submit(std::move(operation));
    page->waiting[number] = std::move(done);
    // What else comes in this turn of the loop is agreed with the same write.
    this->context.loop.post([this, shard] { this->step(shard); });
}

void once_shards::tick()
{
    const time_point now = net::event_loop::now();
    std::vector<int> numbers;
    for (const auto& [shard, page] : this->pages)
    {
        numbers.push_back(shard);
    }
    for (const int shard : numbers)
    {
        this->step(shard);
    }
    std::erase_if(this->pages,
                  [now](const auto& entry)
                  {
                      return entry.second->waiting.empty() &&
                             now - entry.second->last_used > page_lifetime;
                  });
}

void once_shards::step(int shard)
{
    const auto found = this->pages.find(shard);
    if (found == this->pages.end())
    {
        return;
    }
    const auto action = found->second->ledger.next_action(
        net::event_loop::now(), wall_clock_s());
    if (action)
    {
        this->carry_out(shard, *action);
    }
    this->deliver(shard);
}

void once_shards::carry_out(int shard, const once_ledger::action& action)
{
    if (action.write)
    {
        this->write(shard, *action.write);
        return;
    }
    this->read(shard);
}

void once_shards::read(int shard)
{
    this->context.store.get(
        page_key(shard),
        [this, shard, page = this->pages.at(shard)](
            const result<std::optional<key_value::versioned_value>>& answer)
        {
            page->ledger.on_page(net::event_loop::now(),
                                 answer.has_error()
                                     ? result<seen_once_page>(answer.error())
                                     : decode_page(answer.value()));
            this->step(shard);
        });
}

void once_shards::write(int shard, const seen_once_page& wanted)
{
    this->context.metrics.count("parsleytrack_once_writes_total", {});
    this->context.store.compare_and_swap(
        page_key(shard), wanted.revision, encode_once_page(wanted.page),
        key_value::store_lease(),
        [this, shard, page = this->pages.at(shard)](
            const result<key_value::swap_outcome>& answer)
        {
            const time_point now = net::event_loop::now();
            using outcome = result<std::pair<bool, seen_once_page>>;
            if (answer.has_error())
            {
                this->context.metrics.count(
                    "parsleytrack_once_write_retries_total",
                    {{"reason", std::string(to_string(answer.error().code))}});
                page->ledger.on_swap(now, answer.error());
            }
            else
            {
                auto current = decode_page(answer.value().current);
                page->ledger.on_swap(
                    now, current.has_error()
                             ? outcome(current.error())
                             : outcome(std::pair(answer.value().applied,
                                                 std::move(current.value()))));
            }
            this->step(shard);
        });
}

void once_shards::deliver(int shard)
{
    const auto page = this->pages.at(shard);
    for (auto& [number, outcome] : page->ledger.take_answers())
    {
        const auto waiting = page->waiting.extract(number);
        if (!waiting.empty())
        {
            waiting.mapped()(std::move(outcome));
        }
    }
}

} // namespace parsleytrack
