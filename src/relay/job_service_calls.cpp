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
/// Responses up to this size need no room.
constexpr std::size_t small_response_bytes = std::size_t{16} * 1024;

std::size_t output_bytes(const jobs::job_page& page)
{
    std::size_t bytes = 0;
    for (const jobs::job_result& entry : page.results)
    {
        bytes += entry.output.size();
    }
    return bytes;
}

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
    this->reads.join("results/" + call.job.str() + "/" +
                         std::to_string(call.after),
                     exchange,
                     [this, &call, wait](const shared_reads::end_callback& done)
                     { this->begin_results_read(call, wait, done); });
}

void job_service::begin_results_read(const job_call& call, duration wait,
                                     const shared_reads::end_callback& done)
{
    const job_reader::page_callback respond =
        [this, done, after = call.after](const result<jobs::job_page>& page,
                                         read_admission::claim room)
    {
        if (page.has_error())
        {
            done(page.error());
            return;
        }
        this->finish_results_read(page.value(), after, std::move(room), done);
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
            respond(page, nullptr);
        });
}

void job_service::finish_results_read(jobs::job_page page, std::size_t after,
                                      read_admission::claim room,
                                      const shared_reads::end_callback& done)
{
    if (!room && page.results.size() > 1)
    {
        room = this->admission.take(output_bytes(page));
        // A page needs one result only.
        page.results.resize(room ? page.results.size() : 1);
    }
    this->finish_read({status_ok,
                       {{"Content-Type", "application/json"}},
                       this->context.adapter.format_results(page, after),
                       std::move(room)},
                      done);
}

void job_service::finish_read(shared_response response,
                              const shared_reads::end_callback& done)
{
    const std::size_t bytes = response.body.size();
    if (!response.room && bytes > small_response_bytes)
    {
        response.room = this->admission.take(bytes);
        if (!response.room)
        {
            this->context.metrics.count("parsleytrack_job_reads_total",
                                        {{"kind", "refused"}});
            done(error{error_code::store_unavailable,
                       "too many results are being sent", ran_state::no,
                       read_admission::min_retry_after});
            return;
        }
    }
    done(std::make_shared<const shared_response>(std::move(response)));
}

void job_service::read_body(const std::shared_ptr<net::http_exchange>& exchange,
                            const job_call& call)
{
    this->reads.join("body/" + call.job.str() + "/" + call.item, exchange,
                     [this, &call](const shared_reads::end_callback& done)
                     { this->begin_body_read(call, done); });
}

void job_service::begin_body_read(const job_call& call,
                                  const shared_reads::end_callback& done)
{
    this->reader.read_body(
        call.job, call.item,
        [this, done](const result<std::string>& body,
                     read_admission::claim room)
        {
            if (body.has_error())
            {
                done(body.error());
                return;
            }
            this->finish_read({status_ok,
                               {{"Content-Type", "application/octet-stream"}},
                               body.value(),
                               std::move(room)},
                              done);
        });
}

void job_service::export_metrics() const
{
    const auto set =
        [this](const char* metric, byte_count limit, byte_count used)
    {
        this->context.metrics.set_gauge(metric, {{"state", "limit"}},
                                        static_cast<double>(limit.count()));
        this->context.metrics.set_gauge(metric, {{"state", "used"}},
                                        static_cast<double>(used.count()));
    };
    set("parsleytrack_job_read_bytes", this->admission.limit(),
        this->admission.used());
    set("parsleytrack_job_output_bytes", this->outputs.limit(),
        this->outputs.used());
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
