#include "daemon/batch_reporter.hpp"

#include "logging/log.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration collect_time = std::chrono::milliseconds(20);
constexpr duration call_timeout = std::chrono::seconds(5);
constexpr duration repeat_interval = std::chrono::seconds(1);
/// Beyond these, the owner's lease has lapsed and the lot is another's.
constexpr int most_failures = 10;
constexpr std::size_t reports_per_call = 64;

} // namespace

batch_reporter::batch_reporter(node_context& node) : context(node) {}

void batch_reporter::add(const node_id& owner, wire::item_report report)
{
    pending_reports& pending = this->owners[owner];
    pending.waiting.push_back(std::move(report));
    if (!pending.call && !pending.timer.is_set())
    {
        pending.timer = this->context.loop.call_after(
            collect_time, [this, owner] { this->send(owner); });
    }
}

void batch_reporter::send(const node_id& owner)
{
    pending_reports& pending = this->owners.at(owner);
    pending.timer.cancel();
    const node_info* node = this->context.fleet.find_node(owner);
    if (node == nullptr || node->state == node_state::dead)
    {
        this->handle_answer(owner, false);
        return;
    }
    const std::size_t count =
        std::min(reports_per_call, pending.waiting.size());
    const auto end =
        pending.waiting.begin() + static_cast<std::ptrdiff_t>(count);
    pending.on_the_way.assign(std::make_move_iterator(pending.waiting.begin()),
                              std::make_move_iterator(end));
    pending.waiting.erase(pending.waiting.begin(), end);
    wire::item_report_list list;
    list.reports = pending.on_the_way;
    wire::peer_network::callbacks hooks;
    hooks.on_end = [this, owner](const result<std::string>& answer)
    {
        this->handle_answer(owner, answer.has_value());
    };
    pending.call = this->context.peers.call(
        node->peer, wire::message_type::batch_report, wire::encode(list),
        call_timeout, std::move(hooks));
}

void batch_reporter::handle_answer(const node_id& owner, bool delivered)
{
    pending_reports& pending = this->owners.at(owner);
    pending.call.reset();
    if (delivered)
    {
        pending.failures = 0;
        pending.on_the_way.clear();
    }
    else
    {
        pending.failures += 1;
        std::move(pending.on_the_way.begin(), pending.on_the_way.end(),
                  std::back_inserter(pending.waiting));
        pending.on_the_way.clear();
    }
    if (pending.failures >= most_failures)
    {
        log_event(log_level::warning, "batch_reports_dropped",
                  {{"owner", owner.str()}, {"count", pending.waiting.size()}});
        this->context.metrics.count("parsleytrack_batch_reports_dropped_total",
                                    {}, pending.waiting.size());
        pending.waiting.clear();
    }
    if (pending.waiting.empty())
    {
        this->owners.erase(owner);
        return;
    }
    const duration wait = delivered ? duration::zero() : repeat_interval;
    pending.timer = this->context.loop.call_after(wait, [this, owner]
                                                  { this->send(owner); });
}

} // namespace parsleytrack
