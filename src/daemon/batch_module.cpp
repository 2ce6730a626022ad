#include "daemon/batch_module.hpp"

#include "daemon/batch_upload.hpp"
#include "daemon/job_cancel.hpp"
#include "daemon/job_coordinator.hpp"
#include "daemon/job_nudges.hpp"
#include "daemon/job_results.hpp"
#include "daemon/job_store.hpp"
#include "daemon/lot_pool.hpp"
#include "decisions/lot_assignment.hpp"
#include "decisions/owner_liveness.hpp"
#include "net/error_response.hpp"
#include "storage/segment_store.hpp"
#include "units/wall_clock.hpp"
#include "wire/generated/job_types.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

using exchange_pointer = std::shared_ptr<net::http_exchange>;

constexpr const char* collection_path = "/v1/batches";
constexpr const char* job_path = "/v1/batches/";
constexpr const char* default_workspace = "default";
constexpr std::size_t max_key_bytes = 512;
constexpr double longest_deadline_s = 7 * 24 * 3600;
constexpr std::int64_t milliseconds_per_second = 1000;
constexpr duration liveness_interval = std::chrono::milliseconds(250);

error bad_request(std::string message)
{
    return error{
        error_code::bad_request, std::move(message), ran_state::no, {}};
}

std::string header_or(const net::http_request_head& head, const char* name,
                      const char* otherwise)
{
    const std::string* value = net::find_header(head.headers, name);
    return value == nullptr || value->empty() ? otherwise : *value;
}

result<double> read_deadline(const net::http_request_head& head)
{
    const auto field = head.query.find("deadline_s");
    if (field == head.query.end())
    {
        return bad_request("a batch job needs a deadline: "
                           "/v1/batches?deadline_s=SECONDS");
    }
    const std::string& text = field->second;
    double seconds = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() ||
        !std::isfinite(seconds) || seconds <= 0 || seconds > longest_deadline_s)
    {
        return bad_request("\"deadline_s\" has to be a number above 0 and at "
                           "most 604800");
    }
    return seconds;
}

job_id make_job_id(const workspace_name& workspace, const std::string& key,
                   random_source& random)
{
    std::string name = workspace.str();
    name.push_back('\0');
    name += key.empty()
                ? std::to_string(random()) + "-" + std::to_string(random())
                : "key:" + key;
    return job_id("job-" + storage::checksum_of(name).str());
}

} // namespace

struct batch_module::state
{
    state(node_context& node, storage_module& segments)
        : context(node), storage(segments), records(node, segments),
          nudges(node, [this](const wire::job_nudge& nudge)
                 { this->handle_nudge(nudge); }),
          liveness(node.settings.batch.lease),
          pool(
              node, segments, this->records,
              [this](const node_id& id) { return this->is_usable(id); },
              [this](const lot_pool::lot_name& lot, bool complete)
              {
                  this->nudges.tell_coordinator(
                      complete ? wire::nudge_kind::lots_ended
                               : wire::nudge_kind::lots_released,
                      lot.first, lot.second);
              }),
          coordinator(node, this->records, this->liveness,
                      [this](const node_id& id, const job_id& job,
                             const job_record& record,
                             const std::vector<int>& lots)
                      { this->nudges.assign(id, job, record, lots); })
    {
        this->liveness_timer = node.loop.call_every(
            liveness_interval,
            [this]
            {
                this->liveness.update(net::event_loop::now(),
                                      this->context.fleet.nodes());
            });
    }

    bool is_usable(const node_id& id)
    {
        return this->liveness.is_usable(net::event_loop::now(), id);
    }

    void submit(const exchange_pointer& exchange);
    void dispatch(const exchange_pointer& exchange);
    void show(const exchange_pointer& exchange, const job_id& job);
    void stream_results(const exchange_pointer& exchange, const job_id& job);
    void cancel(const exchange_pointer& exchange, const job_id& job);
    void with_progress(const exchange_pointer& exchange, const job_id& job,
                       std::function<void(job_progress)> use);
    void handle_nudge(const wire::job_nudge& nudge);

    node_context& context;
    storage_module& storage;
    job_store records;
    job_nudges nudges;
    owner_liveness liveness;
    lot_pool pool;
    job_coordinator coordinator;
    std::map<const batch_upload*, std::shared_ptr<batch_upload>> uploads;
    net::timer liveness_timer;
};

void batch_module::state::submit(const exchange_pointer& exchange)
{
    const net::http_request_head& head = exchange->head();
    const result<double> deadline_s = read_deadline(head);
    const std::string key = header_or(head, "Idempotency-Key", "");
    if (deadline_s.has_error() || key.size() > max_key_bytes)
    {
        this->context.metrics.count("parsleytrack_refusals_total",
                                    {{"reason", "bad_request"}});
        respond_error(*exchange,
                      deadline_s.has_error()
                          ? deadline_s.error()
                          : bad_request("the Idempotency-Key has more than "
                                        "512 bytes"));
        return;
    }
    batch_submission submission;
    submission.workspace =
        workspace_name(header_or(head, "X-Workspace", default_workspace));
    submission.may_exist = !key.empty();
    submission.job =
        make_job_id(submission.workspace, key, this->context.random);
    submission.deadline_ms =
        wall_clock_ms() +
        static_cast<std::int64_t>(deadline_s.value() * milliseconds_per_second);
    const auto place = std::make_shared<const batch_upload*>(nullptr);
    const auto upload = std::make_shared<batch_upload>(
        this->context, this->storage, this->records, exchange, submission,
        [this](const job_id& job, const job_record&)
        { this->nudges.tell_coordinator(wire::nudge_kind::job_accepted, job); },
        [this, place] { this->uploads.erase(*place); });
    *place = upload.get();
    this->uploads[upload.get()] = upload;
    upload->start();
}

void batch_module::state::dispatch(const exchange_pointer& exchange)
{
    const net::http_request_head& head = exchange->head();
    const std::string rest = head.path.substr(std::string(job_path).size());
    const std::size_t slash = rest.find('/');
    const job_id job(rest.substr(0, slash));
    const std::string action =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (head.method == "GET" && action.empty() && !job.empty())
    {
        this->show(exchange, job);
    }
    else if (head.method == "GET" && action == "results")
    {
        this->stream_results(exchange, job);
    }
    else if (head.method == "POST" && action == "cancel")
    {
        this->cancel(exchange, job);
    }
    else
    {
        respond_error(*exchange,
                      error{error_code::not_found,
                            "there is no " + head.method + " " + head.path,
                            ran_state::no,
                            {}});
    }
}

void batch_module::state::with_progress(const exchange_pointer& exchange,
                                        const job_id& job,
                                        std::function<void(job_progress)> use)
{
    this->records.read_progress(
        job,
        [exchange, job, use = std::move(use)](
            const result<std::optional<job_progress>>& answer)
        {
            if (answer.has_error())
            {
                respond_error(*exchange, answer.error());
                return;
            }
            if (!answer.value())
            {
                respond_error(*exchange, error{error_code::not_found,
                                               "there is no job " + job.str(),
                                               ran_state::no,
                                               {}});
                return;
            }
            use(*answer.value());
        });
}

void batch_module::state::show(const exchange_pointer& exchange,
                               const job_id& job)
{
    this->with_progress(exchange, job,
                        [exchange, job](const job_progress& progress)
                        {
                            const nlohmann::json body{
                                {"id", job.str()},
                                {"status", progress.status()},
                                {"items", progress.job.items},
                                {"ended_items", progress.ended_items()},
                                {"lots", progress.job.lots.size()},
                                {"ended_lots", progress.ended_lots()},
                                {"workspace", progress.job.workspace.str()},
                                {"created_ms", progress.job.created_ms},
                                {"deadline_ms", progress.job.deadline_ms}};
                            exchange->respond_json(200, body.dump());
                        });
}

void batch_module::state::stream_results(const exchange_pointer& exchange,
                                         const job_id& job)
{
    this->with_progress(exchange, job,
                        [this, exchange](job_progress progress)
                        {
                            std::make_shared<job_results>(
                                this->context, this->storage, exchange,
                                std::move(progress))
                                ->start();
                        });
}

void batch_module::state::cancel(const exchange_pointer& exchange,
                                 const job_id& job)
{
    std::make_shared<job_cancel>(this->records, exchange, job,
                                 [this, job]
                                 {
                                     this->nudges.tell_all(
                                         wire::nudge_kind::job_cancelled, job);
                                     this->pool.cancel(job);
                                 })
        ->start();
}

void batch_module::state::handle_nudge(const wire::job_nudge& nudge)
{
    for (const wire::lot_reference& lot : nudge.lots)
    {
        const job_id job(lot.job);
        switch (nudge.kind)
        {
        case wire::nudge_kind::job_accepted:
        case wire::nudge_kind::lots_released:
            this->coordinator.look_at(job);
            break;
        case wire::nudge_kind::own_lots:
            this->pool.want({job, lot.lot}, lot.deadline_ms);
            break;
        case wire::nudge_kind::lots_ended:
            this->coordinator.lot_ended(job, lot.lot);
            break;
        case wire::nudge_kind::job_cancelled:
            this->pool.cancel(job);
            break;
        }
    }
}

batch_module::batch_module(node_context& node, storage_module& segments)
    : contents(std::make_unique<state>(node, segments))
{
    state& self = *this->contents;
    node.router.add("POST", collection_path,
                    [&self](const exchange_pointer& exchange)
                    { self.submit(exchange); });
    node.router.add("", job_path,
                    [&self](const exchange_pointer& exchange)
                    { self.dispatch(exchange); });
}

batch_module::~batch_module() = default;

void batch_module::drain(std::function<void()> done)
{
    this->contents->pool.release_all(std::move(done));
}

} // namespace parsleytrack
