#include "relay/job_peers.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <cstddef>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Nodes of a region respond within milliseconds; after a lost call, the owner
/// finds the change in its next scan of the records.
constexpr duration call_timeout = std::chrono::seconds(1);

/// Sends as much of a page as the connection has room for: what waits to be
/// sent must not grow with the number of reads.
void send_page(wire::peer_exchange& exchange, const jobs::job_page& page)
{
    const std::size_t waiting = exchange.pending_output_bytes();
    if (waiting > jobs::max_page_bytes)
    {
        // The other node reads the store instead.
        exchange.fail(error{error_code::store_unavailable,
                            "too many pages wait to be sent",
                            ran_state::no,
                            {}});
        return;
    }
    if (waiting == 0 || page.results.size() <= 1)
    {
        exchange.finish(jobs::encode(page));
        return;
    }
    exchange.finish(
        jobs::encode(jobs::job_page{page.total, {page.results.front()}}));
}

} // namespace

job_peers::job_peers(const relay_context& node, callbacks listener)
    : context(node), hooks(std::move(listener))
{
    using wire::message_type;
    using exchange_pointer = std::shared_ptr<wire::peer_exchange>;
    this->context.peers.on_call(message_type::node_job_read,
                                [this](const exchange_pointer& exchange)
                                { this->handle_read(exchange); });
    this->context.peers.on_call(message_type::node_job_news,
                                [this](const exchange_pointer& exchange)
                                { this->handle_change_notice(exchange); });
    this->context.peers.on_call(message_type::node_job_handover,
                                [this](const exchange_pointer& exchange)
                                { this->handle_handover(exchange); });
}

void job_peers::hand_over(const jobs::job_input& input,
                          const accepted_job& accepted)
{
    const auto owner = this->context.group.find(accepted.state.owner);
    if (!owner)
    {
        return;
    }
    wire::node_job_handover message;
    message.input = jobs::encode(input);
    message.state = jobs::encode(accepted.state);
    message.revision = accepted.revision.count();
    this->call(*owner, wire::message_type::node_job_handover,
               wire::encode(message), "job_handover_lost", input.id);
}

void job_peers::notify(const node_info& node, const job_id& job,
                       store_revision revision)
{
    wire::node_job_news message;
    message.job = job.str();
    message.revision = revision.count();
    this->call(node, wire::message_type::node_job_news, wire::encode(message),
               "job_news_lost", job);
}

void job_peers::call(const node_info& owner, wire::message_type type,
                     const std::string& message, const char* failure_event,
                     const job_id& job)
{
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->context.peers.call(
        owner.peer, type, message, call_timeout,
        {{},
         [this, number, failure_event, job,
          name = owner.id](const result<std::string>& outcome)
         {
             if (outcome.has_error())
             {
                 // The owner's next scan of the records finds the change.
                 log_event(log_level::info, failure_event,
                           {{"job", job.str()},
                            {"owner", name.str()},
                            {"reason", outcome.error().message}});
             }
             this->calls.erase(number);
         }});
}

void job_peers::handle_handover(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto message =
        wire::decode<wire::node_job_handover>(exchange->request());
    if (message.has_error())
    {
        exchange->fail(message.error());
        return;
    }
    auto input = jobs::decode_input(message.value().input);
    auto state = jobs::decode_state(message.value().state);
    const node_info& own = this->context.group.own();
    if (input.has_error() || state.has_error() || !this->hooks.accepts_jobs() ||
        state.value().owner != own.id ||
        state.value().owner_process != own.process)
    {
        exchange->fail(error{error_code::bad_request,
                             "this node cannot accept the job",
                             ran_state::no,
                             {}});
        return;
    }
    this->hooks.on_handed_over(
        jobs::owned_job(std::move(input.value()), std::move(state.value()),
                        store_revision(message.value().revision)));
    exchange->finish({});
}

void job_peers::handle_read(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = wire::decode<wire::node_job_read>(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    job_owner* owner = this->hooks.find(job_id(request.value().job));
    if (owner == nullptr || request.value().after < 0)
    {
        exchange->fail(error{error_code::not_found,
                             "this node does not run the job",
                             ran_state::no,
                             {}});
        return;
    }
    owner->read(static_cast<std::size_t>(request.value().after),
                std::chrono::milliseconds(request.value().wait_ms),
                [exchange](const result<jobs::job_page>& page)
                {
                    if (page.has_error())
                    {
                        exchange->fail(page.error());
                        return;
                    }
                    send_page(*exchange, page.value());
                });
}

void job_peers::handle_change_notice(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto message = wire::decode<wire::node_job_news>(exchange->request());
    if (message.has_error())
    {
        exchange->fail(message.error());
        return;
    }
    exchange->finish({});
    const job_id job(message.value().job);
    const store_revision revision(message.value().revision);
    const job_owner* owner = this->hooks.find(job);
    if (owner == nullptr)
    {
        this->hooks.on_unowned(job, revision);
        return;
    }
    if (revision == store_revision() || revision > owner->job().revision())
    {
        this->hooks.on_changed(job);
    }
}

} // namespace parsleytrack::relay
