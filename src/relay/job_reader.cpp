#include "relay/job_reader.hpp"

#include "jobs/job_codec.hpp"
#include "jobs/page_builder.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_placement.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Beyond the time that the owner may wait.
constexpr duration owner_margin = std::chrono::milliseconds(400);
constexpr duration retry_after = std::chrono::milliseconds(500);
constexpr std::size_t max_known_owners = 4096;

error unreadable(const job_id& job)
{
    return error{error_code::store_unavailable,
                 "job " + job.str() + " cannot be read now", ran_state::no,
                 retry_after};
}

error no_such_item()
{
    return error{
        error_code::not_found, "there is no such item", ran_state::no, {}};
}

/// \param bytes The record of a job's input.
/// \returns The body of one of its items.
result<std::string> body_of(const std::string& bytes, const std::string& item)
{
    auto input = jobs::decode_input(bytes);
    if (input.has_error())
    {
        return input.error();
    }
    for (jobs::job_item& entry : input.value().items)
    {
        if (entry.id == item)
        {
            return std::move(entry.body);
        }
    }
    return no_such_item();
}

} // namespace

job_reader::job_reader(const relay_context& node) : context(node) {}

void job_reader::read(const job_id& job, std::size_t after, duration wait,
                      page_callback callback)
{
    const auto asked = std::make_shared<question>();
    asked->job = job;
    asked->after = after;
    asked->wait = wait;
    asked->callback = std::move(callback);
    const auto known = this->owners.find(job);
    const node_id owner = known != this->owners.end()
                              ? known->second
                              : preferred_owner(this->context.group, job).id;
    if (!this->ask(asked, owner))
    {
        this->read_state(asked);
    }
}

bool job_reader::ask(const shared_question& asked, const node_id& node)
{
    const auto owner = this->context.group.find(node);
    if (!owner || owner->id == this->context.group.own().id ||
        !asked->asked.insert(owner->id).second)
    {
        return false;
    }
    wire::node_job_read message;
    message.job = asked->job.str();
    message.after = static_cast<std::int32_t>(asked->after);
    message.wait_ms = to_milliseconds(asked->wait);
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->context.peers.call(
        owner->peer, wire::message_type::node_job_read, wire::encode(message),
        asked->wait + owner_margin,
        {{},
         [this, number, asked,
          name = owner->id](const result<std::string>& answer)
         {
             const auto call = std::move(this->calls[number]);
             this->calls.erase(number);
             if (answer.has_value())
             {
                 auto page = jobs::decode_page(answer.value());
                 if (page.has_value())
                 {
                     asked->callback(std::move(page.value()));
                     return;
                 }
             }
             log_event(log_level::debug, "job_owner_not_answering",
                       {{"job", asked->job.str()},
                        {"owner", name.str()},
                        {"reason", answer.has_error() ? answer.error().message
                                                      : "unreadable"}});
             this->owners.erase(asked->job);
             // The time to wait is used up.
             asked->wait = duration::zero();
             this->read_state(asked);
         }});
    return true;
}

void job_reader::read_state(const shared_question& asked)
{
    this->context.store.get(
        job_state_key(asked->job), key_value::read_freshness::latest,
        [this, asked](const result<key_value::stored_record>& record)
        { this->take_state(asked, record); });
}

void job_reader::take_state(const shared_question& asked,
                            const result<key_value::stored_record>& record)
{
    if (record.has_error())
    {
        log_event(
            log_level::warning, "job_read_failed",
            {{"job", asked->job.str()}, {"reason", record.error().message}});
        asked->callback(unreadable(asked->job));
        return;
    }
    if (!record.value().exists())
    {
        log_event(
            log_level::info, "job_unknown",
            {{"job", asked->job.str()}, {"asked_nodes", asked->asked.size()}});
        asked->callback(error{error_code::not_found,
                              "there is no job " + asked->job.str(),
                              ran_state::no,
                              {}});
        return;
    }
    const auto state = jobs::decode_state(record.value().value);
    if (state.has_error())
    {
        log_event(
            log_level::error, "job_record_damaged",
            {{"key", record.value().key}, {"reason", state.error().message}});
        asked->callback(unreadable(asked->job));
        return;
    }
    if (!state.value().is_finished() && this->ask(asked, state.value().owner))
    {
        if (this->owners.size() >= max_known_owners)
        {
            this->owners.clear();
        }
        this->owners[asked->job] = state.value().owner;
        return;
    }
    if (asked->after >= state.value().outcomes.size())
    {
        asked->callback(jobs::job_page{state.value().item_count, {}});
        return;
    }
    this->read_outputs(asked, state.value().item_count);
}

void job_reader::read_outputs(const shared_question& asked, std::size_t total)
{
    this->context.store.list(
        job_output_prefix(asked->job), key_value::read_freshness::latest,
        [asked, total](const result<key_value::record_listing>& outputs)
        {
            if (outputs.has_error())
            {
                asked->callback(unreadable(asked->job));
                return;
            }
            jobs::page_builder page(total, jobs::max_page_bytes);
            const auto& records = outputs.value().records;
            for (std::size_t position = asked->after; position < records.size();
                 ++position)
            {
                auto output = jobs::decode_output(records[position].value);
                if (output.has_error())
                {
                    log_event(log_level::error, "job_output_damaged",
                              {{"key", records[position].key},
                               {"reason", output.error().message}});
                    asked->callback(unreadable(asked->job));
                    return;
                }
                if (!page.add(std::move(output.value())))
                {
                    break;
                }
            }
            asked->callback(page.take());
        });
}

void job_reader::read_body(const job_id& job, const std::string& item,
                           body_callback callback)
{
    this->read_body(job, item, key_value::read_freshness::may_be_stale,
                    std::move(callback));
}

void job_reader::read_body(const job_id& job, const std::string& item,
                           key_value::read_freshness freshness,
                           body_callback callback)
{
    this->context.store.get(
        job_input_key(job), freshness,
        [this, job, item, freshness, callback = std::move(callback)](
            const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                error reason = record.error();
                reason.ran = ran_state::no;
                reason.code = error_code::store_unavailable;
                callback(reason);
                return;
            }
            if (!record.value().exists() &&
                freshness != key_value::read_freshness::latest)
            {
                this->read_body(job, item, key_value::read_freshness::latest,
                                callback);
                return;
            }
            callback(record.value().exists()
                         ? body_of(record.value().value, item)
                         : no_such_item());
        });
}

} // namespace parsleytrack::relay
