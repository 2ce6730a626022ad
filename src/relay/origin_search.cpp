#include "relay/origin_search.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// How long a node that has just started waits for the list of storage nodes.
constexpr duration directory_timeout = std::chrono::milliseconds(600);
constexpr duration directory_check_interval = std::chrono::milliseconds(50);
/// When so many nodes have seen the same single version, the search does not
/// wait for others, which may be down.
constexpr std::size_t sufficient_observers = 2;

void add_missing(std::vector<stream_origin>& list,
                 const std::vector<stream_origin>& added)
{
    for (const stream_origin& origin : added)
    {
        if (std::find(list.begin(), list.end(), origin) == list.end())
        {
            list.push_back(origin);
        }
    }
}

} // namespace

origin_search::origin_search(net::event_loop& event_loop,
                             stream_origins& memory, origin_inquiry wanted,
                             callback on_end)
    : loop(event_loop), origins(memory), inquiry(std::move(wanted)),
      ended_callback(std::move(on_end)),
      ask_until(net::event_loop::now() + directory_timeout)
{
    this->next_step =
        this->loop.call_after(duration::zero(), [this] { this->start(); });
}

void origin_search::start()
{
    if (const auto known = this->origins.find(this->inquiry.request))
    {
        this->finish(known);
        return;
    }
    this->ask();
}

void origin_search::ask()
{
    if (!this->origins.knows_storage_nodes() &&
        net::event_loop::now() < this->ask_until)
    {
        this->next_step = this->loop.call_after(directory_check_interval,
                                                [this] { this->ask(); });
        return;
    }
    this->add(this->origins.own_view(this->inquiry));
    this->calls = this->origins.ask(this->inquiry,
                                    [this](const result<origin_reply>& reply)
                                    { this->handle_reply(reply); });
    this->pending = this->calls.size();
    if (this->pending == 0)
    {
        this->confirm(this->only_candidate());
    }
}

void origin_search::handle_reply(const result<origin_reply>& reply)
{
    if (!this->ended_callback)
    {
        return;
    }
    --this->pending;
    if (reply.has_value())
    {
        if (reply.value().origin)
        {
            this->finish(reply.value().origin);
            return;
        }
        this->add(reply.value());
    }
    const auto candidate = this->only_candidate();
    if (this->pending == 0 ||
        (candidate && this->observers >= sufficient_observers))
    {
        this->confirm(candidate);
    }
}

void origin_search::confirm(const std::optional<stream_origin>& candidate)
{
    if (!candidate)
    {
        this->finish(std::nullopt);
        return;
    }
    // Nodes that are cut off or have stood still do not know that they have
    // missed another version.
    if (std::exchange(this->is_confirming, true))
    {
        return;
    }
    this->origins.read_current(
        this->inquiry.services,
        [this, observed = this->alive,
         candidate](const result<std::vector<stream_origin>>& current)
        {
            if (!*observed || !this->ended_callback)
            {
                return;
            }
            const bool is_only =
                current.has_value() &&
                std::all_of(current.value().begin(), current.value().end(),
                            [&candidate](const stream_origin& origin)
                            { return origin == *candidate; });
            this->finish(is_only ? candidate : std::nullopt);
        });
}

void origin_search::add(const origin_reply& reply)
{
    this->observers += reply.has_observed ? 1 : 0;
    this->is_remembered = this->is_remembered || reply.remembers;
    add_missing(this->remembered, reply.candidates);
    if (!reply.remembers)
    {
        add_missing(this->candidates, reply.candidates);
    }
}

std::optional<stream_origin> origin_search::only_candidate() const
{
    // What a node remembers may be out of date if it was down for long.
    const bool is_observed = this->observers > 0;
    const auto& possible = is_observed ? this->candidates : this->remembered;
    return (is_observed || this->is_remembered) && possible.size() == 1
               ? std::optional(possible.front())
               : std::nullopt;
}

void origin_search::finish(const std::optional<stream_origin>& origin)
{
    const callback on_end = std::exchange(this->ended_callback, nullptr);
    on_end(origin);
}

} // namespace parsleytrack::relay
