// How nodes tell each other which traits of requests are blocked.

#include "decisions/rendezvous.hpp"
#include "logging/log.hpp"
#include "relay/crash_guard.hpp"
#include "relay/trait_messages.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr duration notice_timeout = std::chrono::milliseconds(500);
constexpr int notice_attempts = 4;
/// Nodes that greet one new node. Up to this number, all do.
constexpr std::size_t greeters_per_node = 16;

} // namespace

void crash_guard::handle_inquiry(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    answer_inquiry(*exchange, this->history, this->quarantine);
}

void crash_guard::handle_verdicts(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto message = read_message(*exchange, "trait_verdicts_refused",
                                      net::event_loop::now());
    if (!message)
    {
        return;
    }
    this->apply(message->verdicts);
    exchange->finish({});
}

void crash_guard::apply(const std::vector<routing::trait_verdict>& received)
{
    for (const routing::trait_verdict& verdict : received)
    {
        if (this->quarantine.merge(verdict))
        {
            this->log_verdict(verdict, "another node");
        }
    }
}

void crash_guard::notify_all(const routing::trait_verdict& verdict)
{
    trait_knowledge news;
    news.verdicts.push_back(verdict);
    const std::string message = encode(news, net::event_loop::now());
    for (const node_info& node : this->group.live_nodes())
    {
        if (node.id != this->group.own().id)
        {
            this->notify(node.peer, message, notice_attempts);
        }
    }
    for (const auto& [key, address] : this->storage.nodes())
    {
        this->notify(address, message, notice_attempts);
    }
}

void crash_guard::notify(const endpoint& node, const std::string& message,
                         int attempts)
{
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->peers.call(
        node, wire::message_type::trait_verdicts, message, notice_timeout,
        {{},
         [this, number, node, message,
          attempts](const result<std::string>& outcome)
         {
             this->loop.free_later(std::move(this->calls[number]));
             this->calls.erase(number);
             if (outcome.has_value())
             {
                 return;
             }
             log_event(log_level::info, "trait_verdict_lost",
                       {{"to", to_string(node)},
                        {"attempts_left", attempts - 1},
                        {"reason", outcome.error().message}});
             if (attempts <= 1)
             {
                 // A node that returns is greeted with all verdicts.
                 return;
             }
             this->retries[number] = this->loop.call_after(
                 notice_timeout,
                 [this, number, node, message, attempts]
                 {
                     const auto timer = std::move(this->retries[number]);
                     this->retries.erase(number);
                     this->notify(node, message, attempts - 1);
                 });
         }});
}

void crash_guard::greet_new_nodes()
{
    std::set<std::pair<node_id, process_number>> current;
    std::vector<node_info> newcomers;
    for (const node_info& node : this->group.live_nodes())
    {
        current.emplace(node.id, node.process);
        if (node.id != this->group.own().id &&
            !this->known_processes.contains({node.id, node.process}))
        {
            newcomers.push_back(node);
        }
    }
    this->known_processes = std::move(current);
    if (this->quarantine.is_empty() || newcomers.empty())
    {
        return;
    }
    trait_knowledge news;
    news.verdicts = this->quarantine.all();
    const std::string message = encode(news, net::event_loop::now());
    const std::vector<std::string> names = this->live_names();
    for (const node_info& node : newcomers)
    {
        const auto greeters =
            rendezvous_rank(names, node.id.str(), greeters_per_node);
        const bool greets =
            std::any_of(greeters.begin(), greeters.end(),
                        [this, &names](std::size_t index)
                        { return names[index] == this->group.own().id.str(); });
        if (greets)
        {
            this->notify(node.peer, message, notice_attempts);
        }
    }
}

void crash_guard::exchange_verdicts(const endpoint& storage_node)
{
    const time_point now = net::event_loop::now();
    if (!this->quarantine.is_empty())
    {
        trait_knowledge news;
        news.verdicts = this->quarantine.all();
        this->notify(storage_node, encode(news, now), notice_attempts);
    }
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->peers.call(
        storage_node, wire::message_type::trait_inquiry,
        encode(trait_knowledge(), now), notice_timeout,
        {{},
         [this, number](const result<std::string>& reply)
         {
             this->loop.free_later(std::move(this->calls[number]));
             this->calls.erase(number);
             if (reply.has_error())
             {
                 log_event(log_level::info, "trait_verdicts_not_learned",
                           {{"reason", reply.error().message}});
                 return;
             }
             const auto knowledge =
                 decode_trait_knowledge(reply.value(), net::event_loop::now());
             if (knowledge.has_error())
             {
                 log_event(log_level::warning, "trait_reply_refused",
                           {{"reason", knowledge.error().message}});
                 return;
             }
             this->apply(knowledge.value().verdicts);
         }});
}

} // namespace parsleytrack::relay
