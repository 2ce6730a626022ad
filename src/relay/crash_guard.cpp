#include "relay/crash_guard.hpp"

#include "decisions/rendezvous.hpp"
#include "logging/log.hpp"
#include "routing/crashing_traits.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

namespace
{

using wire::message_type;

/// Nodes of a region respond within milliseconds. An unresponsive one delays a
/// verdict by this much.
constexpr duration inquiry_timeout = std::chrono::milliseconds(300);
/// Nodes that collect the reports about one trait. Up to this number, all do.
constexpr std::size_t collectors_per_trait = 16;
constexpr duration shortest_retry_after = std::chrono::seconds(1);
/// Another request may be tried when a trial has no outcome after this time,
/// for instance because its caller has left.
constexpr duration trial_timeout = std::chrono::seconds(20);

std::string join(const std::vector<request_trait>& traits)
{
    std::string text;
    for (const request_trait& trait : traits)
    {
        text += (text.empty() ? "" : ",") + trait.str();
    }
    return text;
}

} // namespace

crash_guard::crash_guard(net::event_loop& event_loop,
                         wire::peer_network& network,
                         peering::peer_group& nodes,
                         storage_directory& storage_nodes,
                         metrics::registry& counters)
    : loop(event_loop), peers(network), group(nodes), storage(storage_nodes),
      metrics(counters)
{
    using exchange_pointer = std::shared_ptr<wire::peer_exchange>;
    this->peers.on_call(message_type::trait_inquiry,
                        [this](const exchange_pointer& exchange)
                        { this->handle_inquiry(exchange); });
    this->peers.on_call(message_type::trait_verdicts,
                        [this](const exchange_pointer& exchange)
                        { this->handle_verdicts(exchange); });
    this->group.on_change([this] { this->greet_new_nodes(); });
    this->storage.on_start([this](const endpoint& address)
                           { this->exchange_verdicts(address); });
}

std::optional<duration>
crash_guard::rejection(const request_id& request,
                       const std::vector<request_trait>& traits)
{
    if (this->quarantine.is_empty())
    {
        return std::nullopt;
    }
    const auto blocked = this->quarantine.blocked_among(traits);
    if (blocked.empty())
    {
        return std::nullopt;
    }
    const time_point now = net::event_loop::now();
    const routing::trait_verdict& verdict = blocked.front();
    const bool is_tried =
        this->current_trial && this->current_trial->request == request;
    if (is_tried)
    {
        return std::nullopt;
    }
    const bool trial_is_over =
        !this->current_trial ||
        now - this->current_trial->started > trial_timeout;
    const std::vector<std::string> names = this->live_names();
    const auto winner = rendezvous_rank(names, verdict.trait.str(), 1);
    const bool decides =
        !winner.empty() && names[winner.front()] == this->group.own().id.str();
    if (blocked.size() == 1 && now >= verdict.trial_at && trial_is_over &&
        decides)
    {
        log_event(log_level::info, "request_trait_tried",
                  {{"trait", verdict.trait.str()}, {"request", request.str()}});
        this->current_trial = trial{request, verdict.trait, now};
        return std::nullopt;
    }
    return std::max<duration>(shortest_retry_after, verdict.trial_at - now);
}

void crash_guard::handle_survival(const std::vector<request_trait>& traits)
{
    this->history.record_survival(traits, net::event_loop::now());
    // Also ends a block that a request from before it has shown to be wrong.
    for (const routing::trait_verdict& blocked :
         this->quarantine.blocked_among(traits))
    {
        if (const auto* verdict = this->quarantine.clear(blocked.trait))
        {
            this->log_verdict(*verdict, "a replica survived it");
            this->notify_all(*verdict);
            if (this->current_trial &&
                this->current_trial->trait == blocked.trait)
            {
                this->current_trial.reset();
            }
        }
    }
}

void crash_guard::handle_lost_replica(const request_id& request,
                                      const std::vector<request_trait>& traits,
                                      const replica_process_id& replica_process,
                                      int events)
{
    if (traits.empty())
    {
        return;
    }
    const time_point now = net::event_loop::now();
    log_event(log_level::info, "replica_lost_under_request",
              {{"request", request.str()},
               {"replica", replica_process.str()},
               {"events", events},
               {"traits", join(traits)}});
    this->metrics.count("parsleytrack_replicas_lost_under_requests_total", {});
    if (this->fail_trial(request))
    {
        return;
    }
    if (!this->quarantine.blocked_among(traits).empty())
    {
        // The blocked trait explains the loss.
        return;
    }
    this->history.add_report(routing::crash_report{
        request, replica_process, traits, now, events >= output_events});
    this->suspects.insert(traits.begin(), traits.end());
    this->start_inquiry();
}

void crash_guard::handle_lost_item(const request_id& request)
{
    this->fail_trial(request);
}

bool crash_guard::fail_trial(const request_id& request)
{
    if (!this->current_trial || this->current_trial->request != request)
    {
        return false;
    }
    const routing::trait_verdict& verdict = this->quarantine.block(
        this->current_trial->trait, net::event_loop::now());
    this->current_trial.reset();
    this->log_verdict(verdict, "its trial failed");
    this->notify_all(verdict);
    return true;
}

void crash_guard::start_inquiry()
{
    if (this->gathered || this->suspects.empty())
    {
        return;
    }
    const std::vector<request_trait> traits(this->suspects.begin(),
                                            this->suspects.end());
    this->suspects.clear();
    const time_point now = net::event_loop::now();
    this->gathered = known_of(this->history, {}, traits, now);
    this->gathered->asked = traits;
    const std::string question = encode(*this->gathered, now);
    const std::set<endpoint> asked = this->collecting_nodes(traits);
    this->awaited_replies = asked.size() + 1;
    for (const endpoint& address : asked)
    {
        const std::uint64_t number = this->next_number++;
        this->calls[number] = this->peers.call(
            address, message_type::trait_inquiry, question, inquiry_timeout,
            {{},
             [this, number](const result<std::string>& reply)
             {
                 this->loop.free_later(std::move(this->calls[number]));
                 this->calls.erase(number);
                 this->handle_reply(reply);
             }});
    }
    this->loop.post([this] { this->end_inquiry(); });
}

void crash_guard::handle_reply(const result<std::string>& reply)
{
    if (reply.has_value())
    {
        auto knowledge =
            decode_trait_knowledge(reply.value(), net::event_loop::now());
        if (knowledge.has_error())
        {
            log_event(log_level::warning, "trait_reply_refused",
                      {{"reason", knowledge.error().message}});
        }
        else
        {
            for (const routing::crash_report& report :
                 knowledge.value().crashes)
            {
                this->history.add_report(report);
            }
            for (const auto& [trait, when] : knowledge.value().survivals)
            {
                this->history.record_survival({trait}, when);
            }
            this->apply(knowledge.value().verdicts);
        }
    }
    this->end_inquiry();
}

void crash_guard::end_inquiry()
{
    if (--this->awaited_replies > 0)
    {
        return;
    }
    const time_point now = net::event_loop::now();
    const std::vector<request_trait> traits =
        std::exchange(this->gathered, std::nullopt)->asked;
    trait_knowledge known = known_of(this->history, {}, traits, now);
    for (routing::crash_report& report : known.crashes)
    {
        // Nobody was asked about the other traits of other nodes' requests.
        std::erase_if(report.traits,
                      [&traits](const request_trait& trait) {
                          return std::find(traits.begin(), traits.end(),
                                           trait) == traits.end();
                      });
    }
    for (const request_trait& trait :
         routing::find_crashing_traits(known.crashes, known.survivals))
    {
        if (!this->quarantine.blocked_among({trait}).empty())
        {
            continue;
        }
        const routing::trait_verdict& verdict =
            this->quarantine.block(trait, now);
        this->log_verdict(verdict, "replicas ended under it");
        this->notify_all(verdict);
    }
    this->start_inquiry();
}

std::set<endpoint>
crash_guard::collecting_nodes(const std::vector<request_trait>& traits) const
{
    const std::vector<node_info>& nodes = this->group.live_nodes();
    const std::vector<std::string> names = this->live_names();
    std::set<endpoint> chosen;
    for (const request_trait& trait : traits)
    {
        for (const std::size_t index :
             rendezvous_rank(names, trait.str(), collectors_per_trait))
        {
            if (nodes[index].id != this->group.own().id)
            {
                chosen.insert(nodes[index].peer);
            }
        }
    }
    for (const auto& [key, address] : this->storage.nodes())
    {
        chosen.insert(address);
    }
    return chosen;
}

std::vector<std::string> crash_guard::live_names() const
{
    std::vector<std::string> names;
    for (const node_info& node : this->group.live_nodes())
    {
        names.push_back(node.id.str());
    }
    return names;
}

void crash_guard::log_verdict(const routing::trait_verdict& verdict,
                              const char* learned_from) const
{
    log_event(log_level::warning,
              verdict.blocked ? "request_trait_blocked"
                              : "request_trait_cleared",
              {{"trait", verdict.trait.str()},
               {"revision", verdict.revision},
               {"trial_in_ms",
                to_milliseconds(verdict.trial_at - net::event_loop::now())},
               {"learned_from", learned_from}});
}

} // namespace parsleytrack::relay
