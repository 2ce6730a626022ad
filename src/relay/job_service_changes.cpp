// How the jobs of a node follow changes of the configuration, of the replicas
// and of its links, and what becomes of them in a planned stop.

#include "relay/job_placement.hpp"
#include "relay/job_service.hpp"

#include <optional>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// How long the node's links to the replicas may be lost before its jobs move.
constexpr duration handover_delay = std::chrono::seconds(1);
/// Longer than the writes that hand a job over are retried.
constexpr duration handover_timeout = std::chrono::seconds(30);

} // namespace

void job_service::schedule_review()
{
    if (std::exchange(this->review_is_scheduled, true))
    {
        return;
    }
    // A change may come up while a run handles a response.
    this->context.loop.post(
        [this]
        {
            this->review_is_scheduled = false;
            for (const auto& [id, owner] : this->owned)
            {
                owner->review_waiting_runs();
            }
        });
}

void job_service::hand_over_jobs()
{
    for (auto entry = this->owned.begin(); entry != this->owned.end();)
    {
        const auto& [id, owner] = *entry;
        const node_info& next = preferred_owner(this->context.group, id);
        if (owner->job().state().is_finished() ||
            next.id == this->context.group.own().id)
        {
            ++entry;
            continue;
        }
        owner->stop(next, [this, id = id](const node_info& target,
                                          store_revision revision)
                    { this->peers.notify(target, id, revision); });
        this->handed_over.push_back(std::move(entry->second));
        this->evict_at.erase(id);
        entry = this->owned.erase(entry);
    }
    this->handover_timer = this->context.loop.call_after(
        handover_timeout, [this] { this->handed_over.clear(); });
}

void job_service::handle_link_change(bool reaches_replicas)
{
    if (this->stopped)
    {
        return;
    }
    if (reaches_replicas)
    {
        this->handover_timer = this->context.loop.call_after(
            handover_timeout, [this] { this->handed_over.clear(); });
        for (auto& [id, owner] : this->owned)
        {
            owner->start_items();
        }
        return;
    }
    this->handover_timer = this->context.loop.call_after(
        handover_delay, [this] { this->hand_over_jobs(); });
}

void job_service::stop()
{
    this->stopped = true;
    this->handover_timer.cancel();
    this->takeover.stop();
    for (auto& [id, owner] : this->owned)
    {
        const node_info& next = preferred_owner(this->context.group, id);
        const bool has_next = next.id != this->context.group.own().id;
        owner->stop(
            has_next ? std::optional<node_info>(next) : std::nullopt,
            [this, id = id](const node_info& target, store_revision revision)
            { this->peers.notify(target, id, revision); });
        this->handed_over.push_back(std::move(owner));
    }
    // Other nodes run these jobs now and have their latest results.
    this->owned.clear();
    this->evict_at.clear();
}

} // namespace parsleytrack::relay
