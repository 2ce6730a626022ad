#include "relay/job_reader.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_placement.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Time for the call in addition to the time that the owner may wait.
constexpr duration owner_margin = std::chrono::milliseconds(400);
constexpr std::size_t max_known_jobs = 4096;

} // namespace

job_reader::job_reader(const relay_context& node, read_admission& reads)
    : context(node), records(node, reads)
{
}

void job_reader::read(const job_id& job, std::size_t after, duration wait,
                      page_callback callback)
{
    const auto request = std::make_shared<read_request>();
    request->job = job;
    request->after = after;
    request->wait = wait;
    request->callback = std::move(callback);
    const auto known = this->owners.find(job);
    const node_id owner = known != this->owners.end()
                              ? known->second
                              : preferred_owner(this->context.group, job).id;
    if (!this->send_to_node(request, owner))
    {
        this->read_state(request);
    }
}

void job_reader::read_stored(const job_id& job, std::size_t after,
                             page_callback callback)
{
    const auto request = std::make_shared<read_request>();
    request->job = job;
    request->after = after;
    request->callback = std::move(callback);
    this->read_state(request);
}

bool job_reader::send_to_node(const shared_request& request,
                              const node_id& node)
{
    const auto owner = this->context.group.find(node);
    if (!owner || owner->id == this->context.group.own().id ||
        !request->queried_nodes.insert(owner->id).second)
    {
        return false;
    }
    wire::node_job_read message;
    message.job = request->job.str();
    message.after = static_cast<std::int32_t>(request->after);
    message.wait_ms = to_milliseconds(request->wait);
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->context.peers.call(
        owner->peer, wire::message_type::node_job_read, wire::encode(message),
        request->wait + owner_margin,
        {{},
         [this, number, request,
          name = owner->id](const result<std::string>& response)
         {
             const auto call = std::move(this->calls[number]);
             this->calls.erase(number);
             if (response.has_value())
             {
                 auto page = jobs::decode_page(response.value());
                 if (page.has_value() &&
                     !this->is_outdated(*request, page.value()))
                 {
                     request->callback(std::move(page.value()), nullptr);
                     return;
                 }
             }
             log_event(
                 log_level::debug, "job_owner_not_answering",
                 {{"job", request->job.str()},
                  {"owner", name.str()},
                  {"reason", response.has_error() ? response.error().message
                                                  : "unusable"}});
             this->owners.erase(request->job);
             // The wait time is used up.
             request->wait = duration::zero();
             this->read_state(request);
         }});
    return true;
}

bool job_reader::is_outdated(const read_request& request,
                             const jobs::job_page& page)
{
    if (this->results_seen.size() >= max_known_jobs)
    {
        this->results_seen.clear();
    }
    std::size_t& seen = this->results_seen[request.job];
    if (page.results.empty() && request.after < seen)
    {
        log_event(log_level::warning, "job_page_outdated",
                  {{"job", request.job.str()},
                   {"after", request.after},
                   {"results_seen", seen}});
        return true;
    }
    seen = std::max(seen, request.after + page.results.size());
    return false;
}

void job_reader::read_state(const shared_request& request)
{
    this->context.store.get(
        job_state_key(request->job), key_value::read_freshness::latest,
        [this, request](const result<key_value::stored_record>& record)
        { this->handle_state(request, record); });
}

void job_reader::handle_state(const shared_request& request,
                              const result<key_value::stored_record>& record)
{
    if (record.has_error())
    {
        log_event(
            log_level::warning, "job_read_failed",
            {{"job", request->job.str()}, {"reason", record.error().message}});
        request->callback(read_failed(request->job), nullptr);
        return;
    }
    if (!record.value().exists())
    {
        log_event(log_level::info, "job_unknown",
                  {{"job", request->job.str()},
                   {"asked_nodes", request->queried_nodes.size()}});
        request->callback(error{error_code::not_found,
                                "there is no job " + request->job.str(),
                                ran_state::no,
                                {}},
                          nullptr);
        return;
    }
    const auto state = jobs::decode_state(record.value().value);
    if (state.has_error())
    {
        log_event(
            log_level::error, "job_record_damaged",
            {{"key", record.value().key}, {"reason", state.error().message}});
        request->callback(read_failed(request->job), nullptr);
        return;
    }
    if (!state.value().is_finished() &&
        this->send_to_node(request, state.value().owner))
    {
        if (this->owners.size() >= max_known_jobs)
        {
            this->owners.clear();
        }
        this->owners[request->job] = state.value().owner;
        return;
    }
    if (request->after >= state.value().outcomes.size())
    {
        request->callback(jobs::job_page{state.value().item_count, {}},
                          nullptr);
        return;
    }
    this->records.read_results(request->job, request->after,
                               state.value().item_count, request->callback);
}

void job_reader::read_body(const job_id& job, const std::string& item,
                           body_callback callback)
{
    this->records.read_body(job, item, std::move(callback));
}

} // namespace parsleytrack::relay
