#include "daemon/lot_pool.hpp"

#include "logging/log.hpp"
#include "units/wall_clock.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr int ticks_per_offer = 4;
constexpr int ticks_per_gate_check = 10;
/// Bounds the memory that items take; further lots wait.
constexpr std::size_t max_open_lots = 24;
constexpr duration open_retry = std::chrono::seconds(1);
constexpr duration release_time = std::chrono::seconds(10);
constexpr std::int64_t empty_pull_wait_ms = 300;
constexpr int max_pulled_items = 64;
constexpr std::size_t max_offers = 16;
constexpr int exact_offer_limit = 16;
/// Coarse figures, so that gossip only carries what matters.
constexpr std::int64_t offer_time_step_ms = 10'000;
constexpr const char* offer_topic = "batch";

int coarse(int count)
{
    int rounded = exact_offer_limit;
    while (rounded * 2 <= count)
    {
        rounded *= 2;
    }
    return count <= exact_offer_limit ? count : rounded;
}

} // namespace

lot_pool::lot_pool(node_context& node, storage_module& segments,
                   job_store& jobs,
                   std::function<bool(const node_id&)> is_usable,
                   over_callback on_over)
    : context(node), storage(segments), records(jobs),
      usable(std::move(is_usable)), over(std::move(on_over)), gates(node)
{
    node.peers.on_call(
        wire::message_type::batch_pull,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_pull(exchange); });
    node.peers.on_call(
        wire::message_type::batch_report,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_report(exchange); });
    this->timer = node.loop.call_every(tick_interval, [this] { this->tick(); });
}

void lot_pool::want(const lot_name& lot, std::int64_t deadline_ms)
{
    if (this->released || this->runners.count(lot) > 0)
    {
        return;
    }
    this->wanted.try_emplace(lot, wanted_lot{deadline_ms, {}, false});
}

void lot_pool::cancel(const job_id& job)
{
    const time_point now = net::event_loop::now();
    for (const auto& [name, runner] : this->runners)
    {
        if (name.first == job)
        {
            runner->end_all(now, job_state::cancelled);
        }
    }
}

void lot_pool::tick()
{
    const time_point now = net::event_loop::now();
    this->open_next();
    if (this->ticks % ticks_per_gate_check == 0)
    {
        this->drop_dead_gates(now);
    }
    for (const auto& [name, runner] : this->runners)
    {
        runner->step(now);
    }
    this->remove_ended();
    if (++this->ticks % ticks_per_offer == 0)
    {
        this->publish_offers();
    }
    if (this->released && (this->runners.empty() || now > this->release_limit))
    {
        if (!this->runners.empty())
        {
            log_event(log_level::warning, "lots_not_handed_over",
                      {{"count", this->runners.size()}});
        }
        this->timer.cancel();
        this->context.loop.post(std::exchange(this->released, [] {}));
    }
}

void lot_pool::open_next()
{
    if (this->released)
    {
        return;
    }
    const time_point now = net::event_loop::now();
    std::size_t open_count = this->runners.size();
    std::vector<std::pair<std::int64_t, lot_name>> ready;
    for (const auto& [name, entry] : this->wanted)
    {
        open_count += entry.opening ? 1 : 0;
        if (!entry.opening && entry.not_before <= now)
        {
            ready.emplace_back(entry.deadline_ms, name);
        }
    }
    std::sort(ready.begin(), ready.end());
    for (const auto& [deadline_ms, name] : ready)
    {
        if (open_count++ >= max_open_lots)
        {
            return;
        }
        this->open(name);
    }
}

void lot_pool::open(const lot_name& lot)
{
    this->wanted.at(lot).opening = true;
    this->records.read_job(
        lot.first,
        [this, lot, observed = std::weak_ptr<bool>(this->alive)](
            const result<std::optional<seen_job_record>>& answer)
        {
            if (observed.expired())
            {
                return;
            }
            if (answer.has_error())
            {
                this->postpone(lot, answer.error());
                return;
            }
            const auto& seen = answer.value();
            if (!seen || lot.second < 0 ||
                lot.second >= static_cast<int>(seen->record.lots.size()))
            {
                this->wanted.erase(lot);
                return;
            }
            this->load(lot, seen->record);
        });
}

void lot_pool::load(const lot_name& lot, const job_record& record)
{
    const lot_input& input = record.lots[lot.second];
    this->storage.fetch(
        input.input.segment, input.input.holders,
        [this, lot, record, observed = std::weak_ptr<bool>(this->alive)](
            const result<std::string>& bytes)
        {
            if (observed.expired())
            {
                return;
            }
            auto items =
                bytes.has_error()
                    ? result<wire::stored_item_list>(bytes.error())
                    : wire::decode<wire::stored_item_list>(bytes.value());
            if (items.has_error())
            {
                this->postpone(lot, items.error());
                return;
            }
            this->wanted.erase(lot);
            if (!this->released)
            {
                this->runners[lot] = std::make_shared<lot_runner>(
                    this->context, this->storage, this->records, this->gates,
                    lot.first, lot.second, record,
                    std::move(items.value().items), this->usable);
            }
        });
}

void lot_pool::postpone(const lot_name& lot, const error& reason)
{
    log_event(log_level::warning, "lot_not_opened",
              {{"job", lot.first.str()},
               {"lot", lot.second},
               {"reason", to_string(reason.code)}});
    this->context.metrics.count(
        "parsleytrack_lot_open_retries_total",
        {{"reason", std::string(to_string(reason.code))}});
    const auto found = this->wanted.find(lot);
    if (found == this->wanted.end())
    {
        return;
    }
    found->second.opening = false;
    found->second.not_before = net::event_loop::now() + open_retry;
}

void lot_pool::remove_ended()
{
    for (auto entry = this->runners.begin(); entry != this->runners.end();)
    {
        const lot_owner& owner = entry->second->ownership();
        if (!owner.is_over())
        {
            ++entry;
            continue;
        }
        const bool complete = owner.is_complete();
        log_event(log_level::info, complete ? "lot_ended" : "lot_given_up",
                  {{"job", entry->first.first.str()},
                   {"lot", entry->first.second},
                   {"epoch", owner.epoch().count()},
                   {"writes", owner.writes_tried()}});
        const lot_name name = entry->first;
        entry = this->runners.erase(entry);
        this->over(name, complete);
    }
}

void lot_pool::drop_dead_gates(time_point now)
{
    const std::set<node_id> restarted =
        this->restarts.update(this->context.fleet.nodes());
    const auto is_lost = [this, &restarted](const node_id& id)
    {
        const node_info* node = this->context.fleet.find_node(id);
        return restarted.count(id) > 0 ||
               (node != nullptr && node->state == node_state::dead);
    };
    for (const auto& [name, runner] : this->runners)
    {
        runner->drop_gates(now, is_lost);
    }
}

void lot_pool::publish_offers()
{
    std::map<lot_ledger::group, wire::batch_offer> offers;
    const std::int64_t wall_ms = wall_clock_ms();
    for (const auto& [name, runner] : this->runners)
    {
        const lot_ledger* ledger = runner->ownership().ledger();
        if (!runner->ownership().is_active() || ledger == nullptr)
        {
            continue;
        }
        const std::int64_t left = (runner->deadline_ms() - wall_ms) /
                                  offer_time_step_ms * offer_time_step_ms;
        for (const auto& [kind, waiting] : ledger->waiting())
        {
            if (waiting.empty())
            {
                continue;
            }
            const auto [entry, is_new] = offers.try_emplace(kind);
            wire::batch_offer& offer = entry->second;
            offer.service_name = kind.first.str();
            offer.model = kind.second;
            offer.waiting_items += static_cast<std::int32_t>(waiting.size());
            offer.least_time_left_ms =
                is_new ? left : std::min(offer.least_time_left_ms, left);
        }
    }
    wire::batch_offer_list list;
    for (auto& [kind, offer] : offers)
    {
        offer.waiting_items = coarse(offer.waiting_items);
        list.offers.push_back(std::move(offer));
    }
    std::sort(list.offers.begin(), list.offers.end(),
              [](const wire::batch_offer& left, const wire::batch_offer& right)
              { return left.least_time_left_ms < right.least_time_left_ms; });
    if (list.offers.size() > max_offers)
    {
        list.offers.resize(max_offers);
    }
    std::string value = wire::encode(list);
    const bool nothing_new = value == this->published ||
                             (list.offers.empty() && this->published.empty());
    if (!nothing_new)
    {
        this->published = std::move(value);
        this->context.board.publish(offer_topic, this->published);
    }
}

void lot_pool::answer_pull(const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = wire::decode<wire::pull_request>(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    const wire::pull_request& read = request.value();
    item_pull wanted_items;
    wanted_items.gate = node_id(read.gate_node);
    wanted_items.replica = replica_id(read.replica);
    wanted_items.service = service_name(read.service_name);
    wanted_items.models.insert(read.models.begin(), read.models.end());
    wanted_items.replicas_in_use = std::max<std::size_t>(
        1, this->context.fleet.replicas_of(wanted_items.service).size());
    int left = std::min(read.max_items, max_pulled_items);
    std::vector<std::pair<std::int64_t, lot_runner*>> by_slack;
    for (const auto& [name, runner] : this->runners)
    {
        by_slack.emplace_back(runner->deadline_ms(), runner.get());
    }
    std::sort(by_slack.begin(), by_slack.end());
    wire::pull_reply reply;
    const time_point now = net::event_loop::now();
    for (const auto& [deadline_ms, runner] : by_slack)
    {
        wanted_items.max_items = left;
        for (wire::batch_item& item : runner->pull(now, wanted_items))
        {
            reply.items.push_back(std::move(item));
            --left;
        }
        if (left <= 0)
        {
            break;
        }
    }
    reply.retry_after_ms = reply.items.empty() ? empty_pull_wait_ms : 0;
    exchange->finish(wire::encode(reply));
}

void lot_pool::answer_report(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto list = wire::decode<wire::item_report_list>(exchange->request());
    if (list.has_error())
    {
        exchange->fail(list.error());
        return;
    }
    const time_point now = net::event_loop::now();
    for (const wire::item_report& report : list.value().reports)
    {
        const auto found = this->runners.find({job_id(report.job), report.lot});
        if (found != this->runners.end())
        {
            found->second->report(now, report);
        }
    }
    exchange->finish("");
}

void lot_pool::release_all(std::function<void()> done)
{
    this->released = std::move(done);
    this->release_limit = net::event_loop::now() + release_time;
    this->wanted.clear();
    for (const auto& [name, runner] : this->runners)
    {
        runner->release();
    }
}

} // namespace parsleytrack
