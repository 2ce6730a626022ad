// Callers' requests about jobs that were accepted before.

#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_service.hpp"
#include "relay/refusal.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_ok = 200;
constexpr duration max_wait = std::chrono::milliseconds(1000);

} // namespace

void job_service::handle_call(
    const std::shared_ptr<net::http_exchange>& exchange,
    const workspaces::workspace* workspace, job_call call)
{
    if (workspace != nullptr)
    {
        call.job = stored_job_id(workspace->name, call.job);
    }
    switch (call.requested)
    {
    case job_call::operation::read_results:
        this->read_results(exchange, call);
        return;
    case job_call::operation::read_item_body:
        this->read_body(exchange, call);
        return;
    case job_call::operation::cancel:
        this->cancel_job(exchange, call);
        return;
    }
}

void job_service::read_results(
    const std::shared_ptr<net::http_exchange>& exchange, const job_call& call)
{
    duration wait = duration::zero();
    const std::string* text =
        net::find_header(exchange->head().headers,
                         this->context.adapter.headers().wait_ms.c_str());
    if (text != nullptr)
    {
        std::int64_t count = 0;
        std::from_chars(text->data(), text->data() + text->size(), count);
        wait = std::clamp<duration>(std::chrono::milliseconds(count),
                                    duration::zero(), max_wait);
    }
    const job_reader::page_callback respond =
        [this, exchange, after = call.after](const result<jobs::job_page>& page)
    {
        if (page.has_error())
        {
            refuse(*exchange, page.error());
            return;
        }
        exchange->respond_json(status_ok, this->context.adapter.format_results(
                                              page.value(), after));
    };
    const auto found = this->owned.find(call.job);
    if (found == this->owned.end())
    {
        this->reader.read(call.job, call.after, wait, respond);
        return;
    }
    found->second->read(
        call.after, wait,
        [this, call, respond](const result<jobs::job_page>& page)
        {
            if (page.has_error())
            {
                // Another node may have committed more.
                this->reader.read_stored(call.job, call.after, respond);
                return;
            }
            respond(page);
        });
}

void job_service::read_body(const std::shared_ptr<net::http_exchange>& exchange,
                            const job_call& call)
{
    this->reader.read_body(
        call.job, call.item,
        [exchange](const result<std::string>& body)
        {
            if (body.has_error())
            {
                refuse(*exchange, body.error());
                return;
            }
            exchange->respond(status_ok,
                              {{"Content-Type", "application/octet-stream"}},
                              body.value());
        });
}

void job_service::cancel_job(
    const std::shared_ptr<net::http_exchange>& exchange, const job_call& call)
{
    this->cancellation.cancel(
        call.job,
        [this, exchange, call](const result<jobs::job_state>& state)
        {
            log_event(log_level::info, "job_end_asked",
                      {{"job", call.job.str()},
                       {"outcome", state.has_error() ? std::string(to_string(
                                                           state.error().code))
                                                     : std::string("ended")}});
            if (state.has_error())
            {
                refuse(*exchange, state.error());
                return;
            }
            exchange->respond_json(status_ok, "{}");
            if (this->owned.contains(call.job))
            {
                this->refresh(call.job);
                return;
            }
            const auto owner = this->context.group.find(state.value().owner);
            if (owner && owner->id != this->context.group.own().id)
            {
                this->peers.notify(*owner, call.job, store_revision());
            }
        });
}

} // namespace parsleytrack::relay
