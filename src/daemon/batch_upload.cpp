#include "daemon/batch_upload.hpp"

#include "daemon/batch_item_parser.hpp"
#include "logging/log.hpp"
#include "net/error_response.hpp"
#include "storage/segment_store.hpp"
#include "units/wall_clock.hpp"
#include "wire/codec.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack
{

namespace
{

constexpr std::size_t max_lot_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_puts_in_flight = 2;
/// What a line needs beside its item.
constexpr std::size_t line_overhead_bytes = 4096;
constexpr duration idle_limit = std::chrono::seconds(60);

} // namespace

batch_upload::batch_upload(node_context& node, storage_module& segments,
                           job_store& jobs,
                           std::shared_ptr<net::http_exchange> exchange,
                           batch_submission submission,
                           accepted_callback on_accepted,
                           std::function<void()> on_end)
    : context(node), storage(segments), records(jobs),
      request(std::move(exchange)), head(std::move(submission)),
      accepted(std::move(on_accepted)), ended_callback(std::move(on_end)),
      lines(
          static_cast<std::size_t>(node.settings.limits.batch_item.count()) +
              line_overhead_bytes,
          [this](int number, std::string_view line)
          { this->handle_line(number, line); },
          [this](int number)
          {
              const auto limit = this->context.settings.limits.batch_item;
              this->problems.add(number, error_code::too_large,
                                 "the item is larger than " +
                                     std::to_string(limit.count()) + " bytes");
          })
{
    this->record.workspace = this->head.workspace;
    this->record.deadline_ms = this->head.deadline_ms;
    this->record.created_ms = wall_clock_ms();
    this->record.region = node.settings.region;
}

void batch_upload::start()
{
    const std::weak_ptr<batch_upload> observed = this->weak_from_this();
    const auto if_alive = [observed](auto action)
    {
        const auto self = observed.lock();
        if (self && !self->ended)
        {
            action(*self);
        }
    };
    this->request->stream_body(
        [if_alive](std::string_view piece) {
            if_alive([piece](batch_upload& self) { self.handle_piece(piece); });
        },
        [if_alive]
        {
            if_alive(
                [](batch_upload& self)
                {
                    self.lines.finish();
                    self.body_complete = true;
                    self.finish_if_settled();
                });
        });
    this->request->on_closed(
        [if_alive] { if_alive([](batch_upload& self) { self.end(); }); });
    this->restart_idle_timer();
    if (this->head.may_exist)
    {
        this->look_for_job();
    }
}

void batch_upload::look_for_job()
{
    ++this->puts_in_flight;
    this->paused = true;
    this->request->pause_body();
    this->records.read_job(
        this->head.job,
        [self = this->shared_from_this()](
            const result<std::optional<seen_job_record>>& answer)
        {
            if (self->ended)
            {
                return;
            }
            --self->puts_in_flight;
            if (answer.has_error())
            {
                self->fail(answer.error());
                return;
            }
            if (answer.value())
            {
                self->existing = answer.value()->record;
            }
            self->paused = false;
            self->request->resume_body();
            self->finish_if_settled();
        });
}

void batch_upload::handle_piece(std::string_view piece)
{
    this->restart_idle_timer();
    this->lines.feed(piece);
}

void batch_upload::handle_line(int number, std::string_view line)
{
    if (line.empty())
    {
        return;
    }
    // Each line's checksum covers all lines before it.
    std::string chained = this->record.fingerprint;
    chained.append(line);
    this->record.fingerprint = storage::checksum_of(chained).str();
    if (this->problems.is_full())
    {
        return;
    }
    auto item =
        parse_batch_item(line, this->context.settings, this->context.catalogue);
    if (item.has_error() && this->existing)
    {
        // The job was accepted with this body; a model that has been withdrawn
        // since does not change that.
        ++this->record.items;
        return;
    }
    if (item.has_error())
    {
        this->problems.add(number, item.error().code, item.error().message);
        return;
    }
    this->handle_item(number, std::move(item.value()));
}

void batch_upload::handle_item(int number, wire::stored_item item)
{
    const std::size_t hash = std::hash<std::string>()(item.custom_id);
    if (!this->custom_id_hashes.insert(hash).second)
    {
        this->problems.add(number, error_code::bad_request,
                           "\"custom_id\" " + item.custom_id +
                               " stands on an earlier line, too");
        return;
    }
    const int limit = this->context.settings.limits.batch_items;
    if (this->record.items == limit)
    {
        this->problems.add(number, error_code::too_large,
                           "a job has at most " + std::to_string(limit) +
                               " items");
        this->problems.set_full();
        return;
    }
    ++this->record.items;
    if (this->existing || !this->problems.empty() || this->put_error)
    {
        return;
    }
    this->lot_bytes += item.body.size() + item.custom_id.size();
    this->lot.items.push_back(std::move(item));
    if (static_cast<int>(this->lot.items.size()) >=
            this->context.settings.batch.lot_items ||
        this->lot_bytes >= max_lot_bytes)
    {
        this->write_lot();
    }
}

void batch_upload::write_lot()
{
    const std::size_t place = this->record.lots.size();
    this->record.lots.push_back(
        lot_input{{}, static_cast<int>(this->lot.items.size())});
    std::string bytes = wire::encode(this->lot);
    this->lot.items.clear();
    this->lot_bytes = 0;
    ++this->puts_in_flight;
    if (this->puts_in_flight >= max_puts_in_flight && !this->paused)
    {
        this->paused = true;
        this->request->pause_body();
    }
    this->storage.put_everywhere(
        std::move(bytes),
        [self = this->shared_from_this(), place](const result<placement>& where)
        { self->handle_placement(place, where); });
}

void batch_upload::handle_placement(std::size_t place,
                                    const result<placement>& where)
{
    if (this->ended)
    {
        return;
    }
    --this->puts_in_flight;
    if (where.has_error())
    {
        this->put_error = where.error();
    }
    else
    {
        this->record.lots[place].input = where.value();
    }
    if (this->paused && this->puts_in_flight < max_puts_in_flight)
    {
        this->paused = false;
        this->request->resume_body();
    }
    this->finish_if_settled();
}

void batch_upload::finish_if_settled()
{
    if (!this->body_complete || this->puts_in_flight > 0 || this->ended)
    {
        return;
    }
    if (!this->problems.empty())
    {
        this->fail(this->problems.to_error());
        return;
    }
    if (this->put_error)
    {
        this->fail(*this->put_error);
        return;
    }
    if (this->record.items == 0)
    {
        this->fail(error{error_code::bad_request,
                         "the job has no items",
                         ran_state::no,
                         {}});
        return;
    }
    if (this->existing)
    {
        this->respond_job(*this->existing);
        return;
    }
    if (!this->lot.items.empty())
    {
        this->write_lot();
        return;
    }
    this->idle_timer.cancel();
    this->create_job();
}

void batch_upload::create_job()
{
    const auto begun = std::make_shared<job_creation>(
        this->context, this->records, this->head.job, this->record,
        [self = this->shared_from_this()](const result<job_record>& outcome)
        { self->handle_creation(outcome); });
    this->creation = begun;
    begun->start();
}

void batch_upload::handle_creation(const result<job_record>& outcome)
{
    if (outcome.has_error())
    {
        this->fail(outcome.error());
        return;
    }
    const job_record& known = outcome.value();
    if (known == this->record)
    {
        this->accepted(this->head.job, known);
        log_event(log_level::info, "batch_job_accepted",
                  {{"job", this->head.job.str()},
                   {"workspace", this->head.workspace.str()},
                   {"items", known.items},
                   {"lots", known.lots.size()}});
        this->context.metrics.count("parsleytrack_batch_jobs_accepted_total",
                                    {});
    }
    this->respond_job(known);
}

void batch_upload::respond_job(const job_record& known)
{
    if (this->ended)
    {
        return;
    }
    if (known.fingerprint != this->record.fingerprint)
    {
        this->fail(error{error_code::conflict,
                         "the Idempotency-Key belongs to job " +
                             this->head.job.str() + " with another body",
                         ran_state::no,
                         {}});
        return;
    }
    const nlohmann::json body{{"id", this->head.job.str()},
                              {"status", known.cancelled ? "cancelled"
                                         : known.ended   ? "completed"
                                                         : "in_progress"},
                              {"items", known.items}};
    this->request->respond_json(200, body.dump());
    this->end();
}

void batch_upload::fail(const error& reason)
{
    if (this->ended)
    {
        return;
    }
    this->context.metrics.count(
        "parsleytrack_refusals_total",
        {{"reason", std::string(to_string(reason.code))}});
    log_event(log_level::info, "batch_job_refused",
              {{"workspace", this->head.workspace.str()},
               {"reason", to_string(reason.code)}});
    respond_error(*this->request, reason);
    this->end();
}

void batch_upload::end()
{
    this->ended = true;
    this->idle_timer.cancel();
    if (const auto begun = this->creation.lock())
    {
        begun->abandon();
    }
    if (this->paused)
    {
        // The server reads and drops the rest of the body.
        this->paused = false;
        this->request->resume_body();
    }
    this->context.loop.post(
        [callback = std::exchange(this->ended_callback, nullptr)]
        {
            if (callback)
            {
                callback();
            }
        });
}

void batch_upload::restart_idle_timer()
{
    this->idle_timer = this->context.loop.call_after(
        idle_limit,
        [this]
        {
            if (this->paused || this->body_complete)
            {
                return;
            }
            this->fail(error{error_code::deadline_exceeded,
                             "the body of the job did not arrive in time",
                             ran_state::no,
                             {}});
        });
}

} // namespace parsleytrack
