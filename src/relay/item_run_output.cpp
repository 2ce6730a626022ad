// What a replica sends for an item.

#include "relay/item_run.hpp"

namespace parsleytrack::relay
{

namespace
{

/// A replica that completes no event for this long is stalled, also if it sends
/// a byte now and then. Several times the pauses of a slow replica.
constexpr duration stall_timeout = std::chrono::seconds(5);
constexpr int status_ok = 200;

} // namespace

bool item_run::follow_replacement()
{
    const routing::replica_entry* replacement =
        this->context.doubts.replacement_of(this->replica, *this->began);
    if (replacement == nullptr)
    {
        return true;
    }
    const bool is_joined =
        this->first_event > 0 && replacement->version != this->replica.version;
    this->replica = *replacement;
    this->progress.version = this->replica.version;
    return !is_joined;
}

void item_run::discard_progress()
{
    this->progress.reset();
    this->sequence = event_sequence(event_numbering::consecutive, 0);
}

bool item_run::has_unconfirmed_output() const
{
    return this->sequence.run_has_events() && this->progress.version.empty();
}

void item_run::restart_stall_timer()
{
    this->stall_timer = this->context.loop.call_after(
        stall_timeout,
        [this]
        {
            if (this->attempt)
            {
                this->attempt->abort("the replica completes no event");
            }
        });
}

void item_run::handle_chunk(std::string_view chunk)
{
    if (this->status != status_ok)
    {
        return;
    }
    const char* problem = nullptr;
    if (!this->follow_replacement())
    {
        this->discard_progress();
        this->attempt->abort("the replica runs another software version");
        return;
    }
    for (const stream_event& event : this->splitter.feed(chunk))
    {
        const bool has_output = this->sequence.has_events();
        problem = this->sequence.append(event);
        if (problem != nullptr)
        {
            break;
        }
        // Comments of the event stream carry no data.
        if (!event.number)
        {
            continue;
        }
        if (this->limit.is_exceeded_by(this->sequence.last_number(),
                                       this->progress.output.size() +
                                           event.data.size()))
        {
            problem = "the output exceeds what the item may have";
            this->discard_progress();
            break;
        }
        if (has_output)
        {
            this->progress.output += '\n';
        }
        this->progress.output += event.data;
        this->progress.last_event = this->sequence.last_number();
        this->progress.service = this->replica.service;
        // A node that takes the job over before the version is confirmed must
        // start the item anew.
        this->progress.version = net::event_loop::now() < this->confirmed_at()
                                     ? software_version()
                                     : this->replica.version;
        this->restart_stall_timer();
    }
    if (problem == nullptr && this->splitter.is_too_long())
    {
        problem = "an event exceeds the size limit";
    }
    if (problem != nullptr)
    {
        this->attempt->abort(problem);
        return;
    }
    if (!this->listener.may_hold_output())
    {
        this->discard_progress();
        this->finish(item_run_result::out_of_memory,
                     "this node has no memory for the output");
    }
}

} // namespace parsleytrack::relay
