#include "daemon/segment_repair.hpp"

#include "decisions/keeper_choice.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::seconds(1);
constexpr std::size_t page_size = 200;

std::string group_of(const std::string& record_name)
{
    return record_name.substr(0, record_name.find('/'));
}

} // namespace

segment_repair::segment_repair(node_context& node,
                               storage::segment_store& store, keeper_link& link,
                               duration settle)
    : context(node), segments(store), keepers(link), settle_time(settle)
{
    this->timer = node.loop.call_every(tick_interval, [this] { this->tick(); });
}

void segment_repair::tick()
{
    std::set<node_id> present;
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        if (node.keeper && node.state != node_state::dead)
        {
            present.insert(id);
        }
    }
    const time_point now = net::event_loop::now();
    if (present != this->last_keepers)
    {
        this->last_keepers = std::move(present);
        this->changed_at = now;
        this->pass_wanted = true;
    }
    if (this->pass_wanted && !this->running &&
        now - this->changed_at >= this->settle_time)
    {
        this->pass_wanted = false;
        this->running = true;
        this->cursor = segment_id();
        this->record_cursor.clear();
        this->next_page();
    }
}

std::vector<node_info>
segment_repair::other_holders(const std::string& key) const
{
    std::vector<node_info> ranked =
        rank_keepers(this->context.fleet.nodes(), key);
    const auto copies =
        static_cast<std::size_t>(this->context.settings.batch.copies);
    if (ranked.size() > copies)
    {
        ranked.resize(copies);
    }
    const node_id& own = this->context.settings.id;
    std::erase_if(ranked,
                  [&own](const node_info& keeper) { return keeper.id == own; });
    return ranked;
}

void segment_repair::next_page()
{
    const auto page = this->segments.list(this->cursor, page_size);
    if (page.has_error() || page.value().empty())
    {
        this->copy_records();
        return;
    }
    this->cursor = page.value().back();
    for (const segment_id& id : page.value())
    {
        for (const node_info& keeper : this->other_holders(id.str()))
        {
            this->to_check[keeper.id].push_back(id);
        }
    }
    this->check_next_target();
}

void segment_repair::check_next_target()
{
    if (this->to_check.empty())
    {
        this->next_page();
        return;
    }
    auto entry = this->to_check.extract(this->to_check.begin());
    const node_info* known = this->context.fleet.find_node(entry.key());
    if (known == nullptr)
    {
        this->check_next_target();
        return;
    }
    this->keepers.find_missing(
        *known, entry.mapped(),
        [this, observed = std::weak_ptr<bool>(this->alive),
         target = *known](result<std::vector<segment_id>> missing)
        {
            if (observed.expired())
            {
                return;
            }
            if (missing.has_error())
            {
                // The whole pass is made again later.
                this->pass_wanted = true;
                this->check_next_target();
                return;
            }
            this->copy_next(target, std::move(missing.value()));
        });
}

void segment_repair::copy_next(const node_info& target,
                               std::vector<segment_id> missing)
{
    if (missing.empty())
    {
        this->check_next_target();
        return;
    }
    const segment_id id = missing.back();
    missing.pop_back();
    const result<std::string> bytes = this->segments.get(id);
    if (bytes.has_error())
    {
        log_event(log_level::error, "segment_unreadable",
                  {{"segment", id.str()}, {"message", bytes.error().message}});
        this->copy_next(target, std::move(missing));
        return;
    }
    this->keepers.put(
        target, id, bytes.value(),
        [this, observed = std::weak_ptr<bool>(this->alive), target,
         missing = std::move(missing)](const result<bool>& answer) mutable
        {
            if (observed.expired())
            {
                return;
            }
            this->context.metrics.count(
                "parsleytrack_segment_repairs_total",
                {{"outcome", answer.has_value() ? "copied" : "failed"}});
            this->pass_wanted = this->pass_wanted || answer.has_error();
            this->copy_next(target, std::move(missing));
        });
}

void segment_repair::copy_records()
{
    const auto page =
        this->segments.list_records("", this->record_cursor, page_size);
    if (page.has_error() || page.value().empty())
    {
        this->running = false;
        return;
    }
    this->record_cursor = page.value().back().name;
    const auto left = std::make_shared<std::size_t>(1);
    const auto finish_one =
        [this, left, observed = std::weak_ptr<bool>(this->alive)]
    {
        if (--*left == 0 && !observed.expired())
        {
            this->copy_records();
        }
    };
    for (const storage::kept_record& record : page.value())
    {
        for (const node_info& keeper :
             this->other_holders(group_of(record.name)))
        {
            ++*left;
            this->keepers.put_record(keeper, record,
                                     [finish_one](const result<bool>&)
                                     { finish_one(); });
        }
    }
    this->context.loop.post(finish_one);
}

} // namespace parsleytrack
