#include "daemon/job_results.hpp"

#include "decisions/item_status.hpp"
#include "logging/log.hpp"
#include "net/error_response.hpp"
#include "wire/codec.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_pending_bytes = 1024 * 1024;
constexpr duration poll_interval = std::chrono::milliseconds(20);

json response_of(const wire::stored_result& stored)
{
    json body = json::parse(stored.body, nullptr, false);
    if (body.is_discarded())
    {
        body = stored.body;
    }
    return json{{"status_code", stored.http_status}, {"body", body}};
}

std::string result_line(const wire::stored_result& stored)
{
    const auto status = static_cast<item_status>(stored.status);
    json line{{"custom_id", stored.custom_id}, {"status", to_string(status)}};
    if (status == item_status::completed)
    {
        line["response"] = response_of(stored);
    }
    else
    {
        line["error"] = {{"reason", stored.reason},
                         {"message", stored.message}};
        if (stored.http_status != 0)
        {
            line["response"] = response_of(stored);
        }
    }
    return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

job_results::job_results(node_context& node, storage_module& segments,
                         std::shared_ptr<net::http_exchange> exchange,
                         job_progress job)
    : context(node), storage(segments), request(std::move(exchange)),
      progress(std::move(job)), lot(this->progress.lots.begin())
{
}

void job_results::start()
{
    this->next_lot();
}

void job_results::next_lot()
{
    this->timer.cancel();
    if (!this->request->is_open())
    {
        return;
    }
    if (this->request->pending_output_bytes() > max_pending_bytes)
    {
        this->timer = this->context.loop.call_after(
            poll_interval, [self = this->shared_from_this()]
            { self->context.loop.post([self] { self->next_lot(); }); });
        return;
    }
    if (this->lot == this->progress.lots.end())
    {
        this->write_lines();
        this->request->finish_stream();
        return;
    }
    this->segment = 0;
    this->next_segment();
}

void job_results::next_segment()
{
    const lot_record& record = this->lot->second;
    if (this->segment == record.results.size())
    {
        if (static_cast<int>(this->lines.size()) != record.ended_count())
        {
            this->break_off(error{error_code::corrupt_data,
                                  "a lot's results do not match its record",
                                  ran_state::no,
                                  {}});
            return;
        }
        this->write_lines();
        ++this->lot;
        this->next_lot();
        return;
    }
    const placement& where = record.results[this->segment];
    this->storage.fetch(
        where.segment, where.holders,
        [self = this->shared_from_this()](const result<std::string>& bytes)
        { self->handle_segment(bytes); });
}

void job_results::handle_segment(const result<std::string>& bytes)
{
    const auto stored =
        bytes.has_error()
            ? result<wire::stored_result_list>(bytes.error())
            : wire::decode<wire::stored_result_list>(bytes.value());
    if (stored.has_error())
    {
        this->break_off(stored.error());
        return;
    }
    for (const wire::stored_result& one : stored.value().results)
    {
        if (!this->lines.emplace(one.index, result_line(one)).second)
        {
            this->break_off(error{error_code::corrupt_data,
                                  "an item has two results",
                                  ran_state::no,
                                  {}});
            return;
        }
    }
    ++this->segment;
    this->next_segment();
}

void job_results::write_lines()
{
    if (!this->streaming)
    {
        this->streaming = true;
        this->request->start_stream(
            200, {{"Content-Type", "application/jsonl"},
                  {"X-Batch-Status", this->progress.status()}});
    }
    std::string chunk;
    for (const auto& [index, line] : this->lines)
    {
        chunk += line;
    }
    this->lines.clear();
    if (!chunk.empty())
    {
        this->request->write_chunk(chunk);
    }
}

void job_results::break_off(const error& reason)
{
    log_event(
        log_level::warning, "results_unreadable",
        {{"reason", to_string(reason.code)}, {"message", reason.message}});
    this->context.metrics.count(
        "parsleytrack_results_unreadable_total",
        {{"reason", std::string(to_string(reason.code))}});
    if (this->streaming)
    {
        this->request->abort();
        return;
    }
    respond_error(*this->request, reason);
}

} // namespace parsleytrack
