#include "daemon/batch_item_run.hpp"

#include "backends/completion_request.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr int first_success = 200;
constexpr int first_redirection = 300;
constexpr int first_server_error = 500;
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

bool is_chat(const std::string& url)
{
    return url.find("/chat/") != std::string::npos;
}

std::string model_of(const std::string& body)
{
    const auto parsed = backends::parse_completion(body);
    return parsed.has_value() ? parsed.value().model : "";
}

wire::item_end::type end_of(const error& reason)
{
    switch (reason.code)
    {
    // The replica refused the item before it ran.
    case error_code::unknown_model:
    case error_code::no_replica:
        return wire::item_end::not_run;
    case error_code::connection_lost:
        return wire::item_end::replica_lost;
    default:
        return reason.ran == ran_state::no ? wire::item_end::not_run
                                           : wire::item_end::failed;
    }
}

} // namespace

batch_item_run::batch_item_run(wire::batch_item pulled, replica_id replica,
                               const settings::service_settings& service,
                               time_point now, report_callback callback)
    : work(std::move(pulled)), where(std::move(replica)), settings(service),
      deadline(now + std::chrono::milliseconds(this->work.time_left_ms)),
      on_report(std::move(callback)), model(model_of(this->work.body)),
      assembler(this->work.generated_so_far, is_chat(this->work.url))
{
}

replica_job batch_item_run::make_job()
{
    const auto kept = this->shared_from_this();
    replica_job job;
    job.work.kind = work_class::batch;
    job.work.workspace = workspace_name(this->work.workspace);
    job.work.deadline = this->deadline;
    job.work.run_alone = this->work.run_alone;
    job.work.preemptible = this->is_engine() && !this->work.non_idempotent;
    job.make_request = [kept]
    {
        return kept->make_request();
    };
    job.on_head = [kept](int code, const net::http_header_list&)
    {
        kept->status = code;
    };
    job.on_piece = [kept](std::string_view piece)
    {
        kept->handle_piece(piece);
    };
    job.on_end = [kept](const result<bool>& outcome)
    {
        kept->handle_end(outcome);
    };
    job.on_return = [kept](bool preempted)
    {
        kept->handle_return(preempted);
    };
    job.is_whole = [kept]
    {
        return !kept->is_engine() || kept->status != first_success ||
               kept->assembler.is_whole();
    };
    return job;
}

void batch_item_run::keep(std::unique_ptr<net::http_call> handle)
{
    this->job_handle = std::move(handle);
}

void batch_item_run::cancel()
{
    this->on_report = nullptr;
    this->job_handle.reset();
}

wire::item_report batch_item_run::not_run(const std::string& why) const
{
    wire::item_report report = this->make_report(wire::item_end::not_run);
    report.message = why;
    return report;
}

backends::backend_request batch_item_run::make_request()
{
    this->starts += 1;
    this->body.clear();
    this->status = 0;
    this->assembler.begin_stream();
    backends::backend_request request;
    request.id =
        request_id(this->work.job + "-" + std::to_string(this->work.lot) + "-" +
                   std::to_string(this->work.index) + "-" +
                   std::to_string(this->work.attempt) + "-" +
                   this->where.str() + "-" + std::to_string(this->starts));
    request.target = this->work.url;
    request.headers = {{"Content-Type", "application/json"}};
    if (!this->work.idempotency_key.empty())
    {
        request.headers.emplace_back("Idempotency-Key",
                                     this->work.idempotency_key);
    }
    // On an idle connection to a replica that has just died, an item would
    // seem to have been in flight at its death.
    request.send_once = this->work.non_idempotent || this->work.run_alone;
    if (!this->is_engine())
    {
        request.body = this->work.body;
        request.total_timeout =
            this->settings.first_byte_timeout + this->settings.idle_timeout;
        return request;
    }
    request.body =
        backends::with_resume(this->work.body, this->assembler.text());
    request.head_timeout = this->settings.first_byte_timeout;
    request.idle_timeout = this->settings.idle_timeout;
    return request;
}

bool batch_item_run::is_engine() const
{
    return this->settings.kind == settings::service_kind::engine;
}

void batch_item_run::handle_piece(std::string_view piece)
{
    if (this->is_engine() && this->status == first_success)
    {
        this->unreadable |= !this->assembler.feed(piece);
        return;
    }
    if (this->body.size() + piece.size() > max_answer_bytes)
    {
        this->unreadable = true;
        return;
    }
    this->body.append(piece);
}

void batch_item_run::handle_end(const result<bool>& outcome)
{
    const bool has_answer =
        this->is_engine() && this->assembler.is_whole() && !this->unreadable;
    if (outcome.has_error() && !has_answer)
    {
        this->finish(this->report_error(outcome.error()));
        return;
    }
    this->finish(this->report_answer());
}

void batch_item_run::handle_return(bool preempted)
{
    // An item that another gate has begun keeps that gate's text.
    const bool has_text = preempted || !this->work.generated_so_far.empty();
    this->finish(has_text ? this->make_report(wire::item_end::preempted)
                          : this->not_run("the gate has given the item back"));
}

wire::item_report batch_item_run::make_report(wire::item_end::type how) const
{
    wire::item_report report;
    report.job = this->work.job;
    report.lot = this->work.lot;
    report.index = this->work.index;
    report.owner_epoch = this->work.owner_epoch;
    report.attempt = this->work.attempt;
    report.how = how;
    report.replica = this->where.str();
    report.generated_so_far = this->assembler.text();
    return report;
}

wire::item_report batch_item_run::report_answer() const
{
    if (this->unreadable)
    {
        wire::item_report report = this->make_report(wire::item_end::rejected);
        report.message = "the answer is too large or cannot be read";
        return report;
    }
    if (this->is_engine() && this->status == first_success)
    {
        if (!this->assembler.is_whole())
        {
            wire::item_report report =
                this->make_report(wire::item_end::failed);
            report.message = "the answer has stopped before its end";
            return report;
        }
        wire::item_report report = this->make_report(wire::item_end::completed);
        report.status = this->status;
        report.body = this->assembler.answer(this->model);
        report.generated_so_far.clear();
        return report;
    }
    const bool success =
        this->status >= first_success && this->status < first_redirection;
    const bool may_be_cured = this->status >= first_server_error;
    wire::item_report report =
        this->make_report(success ? wire::item_end::completed
                                  : (may_be_cured ? wire::item_end::failed
                                                  : wire::item_end::rejected));
    report.status = this->status;
    report.body = this->body;
    report.message = success ? "" : "status " + std::to_string(this->status);
    return report;
}

wire::item_report batch_item_run::report_error(const error& reason) const
{
    wire::item_report report = this->make_report(end_of(reason));
    report.message = reason.message;
    return report;
}

void batch_item_run::finish(wire::item_report report)
{
    const auto callback = std::exchange(this->on_report, nullptr);
    if (callback)
    {
        callback(std::move(report));
    }
}

} // namespace parsleytrack
