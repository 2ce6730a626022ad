#include "decisions/membership.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// How many nodes a stopping node informs at once, before regular gossip.
constexpr std::size_t stop_announcement_fanout = 5;
constexpr std::size_t max_salt = 1'000'000;
constexpr duration eviction_interval = std::chrono::seconds(10);

} // namespace

membership::membership(const node_info& own_info,
                       const membership_options& chosen_options,
                       random_source& random_numbers, gossip_board& values)
    : own{own_info, false}, options(chosen_options), random(random_numbers),
      board(values), updates(this->table),
      outbox(values, own_info.id, random_numbers() % max_salt)
{
    this->updates.add(this->own.node.id);
}

void membership::set_seeds(std::vector<endpoint> addresses)
{
    std::erase(addresses, this->own.node.peer);
    this->seeds = std::move(addresses);
}

void membership::tick(time_point now)
{
    if (this->gone || this->handle_stall(now))
    {
        return;
    }
    if (!this->join_end)
    {
        this->join_end = now + this->options.join_period;
    }
    this->check_probes(now);
    this->expire(now);
    if (now >= this->next_probe)
    {
        this->next_probe = now + this->options.probe_interval;
        this->send_probe(now);
    }
    if (now >= this->next_confirmation)
    {
        this->next_confirmation = now + this->options.confirm_interval;
        this->probe_suspects();
        this->probe_one_dead();
    }
    if (now >= this->next_gossip)
    {
        this->next_gossip = now + this->options.gossip_interval;
        this->spread_updates();
        this->spread_board();
    }
    if (now >= this->next_exchange)
    {
        this->start_exchange(now);
    }
}

bool membership::handle_stall(time_point now)
{
    const time_point before = this->last_tick.value_or(now);
    this->last_tick = now;
    const duration pause = now - before;
    if (pause < this->options.stall_threshold)
    {
        return false;
    }
    // Acknowledgements that arrived during the stall are still unread in the
    // socket, so a missing one is no sign of a failure.
    this->probes.clear();
    this->relayed.clear();
    this->table.delay_suspicions(pause);
    return true;
}

void membership::check_probes(time_point now)
{
    std::vector<node_id> unanswered;
    for (auto entry = this->probes.begin(); entry != this->probes.end();)
    {
        outstanding_probe& probe = entry->second;
        const duration waited = now - probe.sent;
        if (waited >= this->options.suspect_delay)
        {
            unanswered.push_back(probe.target);
            entry = this->probes.erase(entry);
            continue;
        }
        if (waited >= this->options.indirect_probe_delay && !probe.indirect)
        {
            probe.indirect = true;
            this->request_indirect_probes(probe, entry->first);
        }
        ++entry;
    }
    for (const node_id& id : unanswered)
    {
        const auto* known = this->table.find(id);
        if (known != nullptr && known->record.node.state == node_state::alive)
        {
            member_record claim = known->record;
            claim.node.state = node_state::suspect;
            this->merge(now, claim);
        }
    }
    std::erase_if(
        this->relayed, [this, now](const auto& entry)
        { return now - entry.second.sent >= this->options.suspect_delay; });
}

void membership::request_indirect_probes(const outstanding_probe& probe,
                                         std::int64_t sequence)
{
    const auto* target = this->table.find(probe.target);
    if (target == nullptr)
    {
        return;
    }
    const auto count = static_cast<std::size_t>(this->options.indirect_probes);
    for (const node_id& helper : this->pick_random_nodes(count, probe.target))
    {
        membership_packet packet =
            this->make_packet(membership_packet_kind::indirect_probe);
        packet.sequence = sequence;
        packet.subject = probe.target;
        packet.subject_address = target->record.node.peer;
        this->send(this->table.find(helper)->record.node.peer,
                   std::move(packet), helper);
    }
}

void membership::send_probe(time_point now)
{
    const std::optional<node_id> target = this->next_probe_target();
    if (!target)
    {
        return;
    }
    const std::int64_t sequence = this->next_sequence++;
    this->probes[sequence] = outstanding_probe{*target, now, false};
    membership_packet packet = this->make_packet(membership_packet_kind::probe);
    packet.sequence = sequence;
    packet.subject = *target;
    this->send(this->table.find(*target)->record.node.peer, std::move(packet),
               *target);
}

void membership::probe_suspects()
{
    // An earlier refutation may have been lost on its way here. The probe
    // carries the suspicion, and the suspect replies with a newer incarnation.
    for (const node_id& id : this->table.suspects())
    {
        this->send_untracked_probe(id);
    }
}

void membership::probe_one_dead()
{
    // After a network partition both sides consider each other dead. The
    // probed node sees a sender that it believes dead and exchanges views.
    std::vector<node_id> dead;
    for (const auto& [id, known] : this->table.all())
    {
        if (known.record.node.state == node_state::dead)
        {
            dead.push_back(id);
        }
    }
    if (dead.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> choice(0, dead.size() - 1);
    this->send_untracked_probe(dead[choice(this->random)]);
}

void membership::send_untracked_probe(const node_id& id)
{
    membership_packet packet = this->make_packet(membership_packet_kind::probe);
    packet.sequence = this->next_sequence++;
    packet.subject = id;
    this->send(this->table.find(id)->record.node.peer, std::move(packet), id);
}

std::optional<node_id> membership::next_probe_target()
{
    // Each round probes every node once, which bounds the time to detect a
    // failure.
    for (int round = 0; round < 2; ++round)
    {
        while (!this->probe_order.empty())
        {
            const node_id id = this->probe_order.back();
            this->probe_order.pop_back();
            const auto* known = this->table.find(id);
            if (known != nullptr &&
                known->record.node.state != node_state::dead)
            {
                return id;
            }
        }
        this->probe_order = this->table.present();
        std::shuffle(this->probe_order.begin(), this->probe_order.end(),
                     this->random);
    }
    return std::nullopt;
}

void membership::expire(time_point now)
{
    for (const node_id& id :
         this->table.suspected_for(this->options.suspicion_timeout, now))
    {
        member_record claim = this->table.find(id)->record;
        claim.node.state = node_state::dead;
        this->merge(now, claim);
    }
    if (now < this->next_eviction)
    {
        return;
    }
    this->next_eviction = now + eviction_interval;
    const std::vector<node_id> evicted =
        this->table.evict_dead(this->options.dead_retention, now);
    for (const node_id& id : evicted)
    {
        this->outbox.reset_peer(id);
        this->board.erase_node(id);
    }
    if (!evicted.empty())
    {
        this->commands.emplace_back(view_changed_command{});
    }
}

void membership::announce_reachability(bool reaches_replicas)
{
    if (this->own.node.reaches_replicas == reaches_replicas)
    {
        return;
    }
    this->own.node.reaches_replicas = reaches_replicas;
    this->own.node.incarnation = this->own.node.incarnation.next();
    this->updates.add(this->own.node.id);
    this->commands.emplace_back(view_changed_command{});
    for (const node_id& target :
         this->pick_random_nodes(stop_announcement_fanout, node_id()))
    {
        this->send_gossip(target);
    }
}

void membership::announce_leaving()
{
    this->own.leaving = true;
    this->updates.add(this->own.node.id);
    this->commands.emplace_back(view_changed_command{});
    for (const node_id& target :
         this->pick_random_nodes(stop_announcement_fanout, node_id()))
    {
        this->send_gossip(target);
    }
}

void membership::announce_gone()
{
    this->own.node.state = node_state::dead;
    this->updates.add(this->own.node.id);
    for (const node_id& target :
         this->pick_random_nodes(stop_announcement_fanout, node_id()))
    {
        this->send_gossip(target);
    }
    this->gone = true;
}

std::vector<membership_command> membership::take_commands()
{
    return std::exchange(this->commands, {});
}

std::optional<node_info> membership::find(const node_id& id) const
{
    if (id == this->own.node.id)
    {
        return this->own.visible();
    }
    const auto* known = this->table.find(id);
    return known == nullptr ? std::nullopt
                            : std::optional<node_info>(known->record.visible());
}

std::size_t membership::lost_nodes() const
{
    std::size_t lost = 0;
    std::vector<endpoint> never_seen = this->seeds;
    for (const auto& [id, known] : this->table.all())
    {
        const member_record& record = known.record;
        const bool is_alive = record.node.state == node_state::alive;
        lost += is_alive || record.leaving ? 0 : 1;
        std::erase(never_seen, record.node.peer);
    }
    return lost + never_seen.size();
}

std::vector<node_info> membership::nodes() const
{
    std::vector<node_info> seen{this->own.visible()};
    for (const auto& [id, known] : this->table.all())
    {
        seen.push_back(known.record.visible());
    }
    return seen;
}

} // namespace parsleytrack
