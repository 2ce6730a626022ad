#include "relay/job_reader.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Beyond the time that the owner may wait.
constexpr duration owner_margin = std::chrono::milliseconds(400);
constexpr std::size_t max_known_owners = 4096;
constexpr std::size_t max_page_bytes = 1'000'000;

error unreadable(const job_id& job)
{
    return error{error_code::store_unavailable,
                 "job " + job.str() + " cannot be read now", ran_state::no,
                 std::chrono::milliseconds(500)};
}

} // namespace

job_reader::job_reader(const relay_context& node) : context(node) {}

void job_reader::read(const job_id& job, std::size_t after, duration wait,
                      page_callback callback)
{
    const auto known = this->owners.find(job);
    if (known != this->owners.end())
    {
        const auto owner = this->context.group.find(known->second);
        if (owner && owner->id != this->context.group.own().id)
        {
            this->ask_owner(*owner, job, after, wait, std::move(callback));
            return;
        }
    }
    this->find_owner(job, after, wait, std::move(callback));
}

void job_reader::find_owner(const job_id& job, std::size_t after, duration wait,
                            page_callback callback)
{
    this->context.store.get(
        job_state_key(job), key_value::read_freshness::latest,
        [this, job, after, wait, callback = std::move(callback)](
            const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                log_event(log_level::warning, "job_read_failed",
                          {{"job", job.str()},
                           {"reason", record.error().message}});
                callback(unreadable(job));
                return;
            }
            if (!record.value().exists())
            {
                callback(error{error_code::not_found,
                               "there is no job " + job.str(),
                               ran_state::no,
                               {}});
                return;
            }
            const auto state = jobs::decode_state(record.value().value);
            if (state.has_error())
            {
                log_event(log_level::error, "job_record_damaged",
                          {{"key", record.value().key},
                           {"reason", state.error().message}});
                callback(unreadable(job));
                return;
            }
            const auto owner = this->context.group.find(state.value().owner);
            const bool can_ask = owner &&
                                 owner->id != this->context.group.own().id &&
                                 !state.value().is_finished();
            if (!can_ask)
            {
                this->read_store(job, after, callback);
                return;
            }
            if (this->owners.size() >= max_known_owners)
            {
                this->owners.clear();
            }
            this->owners[job] = owner->id;
            this->ask_owner(*owner, job, after, wait, callback);
        });
}

void job_reader::ask_owner(const node_info& owner, const job_id& job,
                           std::size_t after, duration wait,
                           page_callback callback)
{
    wire::node_job_read question;
    question.job = job.str();
    question.after = static_cast<std::int32_t>(after);
    question.wait_ms = to_milliseconds(wait);
    const std::uint64_t number = this->next_number++;
    this->calls[number] = this->context.peers.call(
        owner.peer, wire::message_type::node_job_read, wire::encode(question),
        wait + owner_margin,
        {{},
         [this, number, job, after, callback = std::move(callback),
          owner = owner.id](const result<std::string>& answer)
         {
             const auto call = std::move(this->calls[number]);
             this->calls.erase(number);
             if (answer.has_value())
             {
                 auto page = jobs::decode_page(answer.value());
                 if (page.has_value())
                 {
                     callback(std::move(page.value()));
                     return;
                 }
             }
             log_event(log_level::info, "job_owner_not_answering",
                       {{"job", job.str()},
                        {"owner", owner.str()},
                        {"reason", answer.has_error() ? answer.error().message
                                                      : "unreadable"}});
             this->owners.erase(job);
             this->read_store(job, after, callback);
         }});
}

void job_reader::read_store(const job_id& job, std::size_t after,
                            page_callback callback)
{
    this->context.store.get(
        job_state_key(job), key_value::read_freshness::latest,
        [this, job, after, callback = std::move(callback)](
            const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                callback(unreadable(job));
                return;
            }
            if (!record.value().exists())
            {
                callback(error{error_code::not_found,
                               "there is no job " + job.str(),
                               ran_state::no,
                               {}});
                return;
            }
            const auto state = jobs::decode_state(record.value().value);
            if (state.has_error())
            {
                callback(unreadable(job));
                return;
            }
            const std::size_t total = state.value().item_count;
            if (after >= state.value().outcomes.size())
            {
                callback(jobs::job_page{total, {}});
                return;
            }
            this->context.store.list(
                job_output_prefix(job), key_value::read_freshness::latest,
                [job, after, total, callback](
                    const result<key_value::record_listing>& outputs)
                {
                    if (outputs.has_error())
                    {
                        callback(unreadable(job));
                        return;
                    }
                    jobs::job_page page;
                    page.total = total;
                    std::size_t bytes = 0;
                    std::size_t position = 0;
                    for (const auto& entry : outputs.value().records)
                    {
                        if (position++ < after)
                        {
                            continue;
                        }
                        auto one = jobs::decode_page(entry.value);
                        if (one.has_error() || one.value().results.empty())
                        {
                            log_event(log_level::error, "job_output_damaged",
                                      {{"key", entry.key}});
                            callback(unreadable(job));
                            return;
                        }
                        bytes += one.value().results.front().output.size();
                        if (!page.results.empty() && bytes > max_page_bytes)
                        {
                            break;
                        }
                        page.results.push_back(
                            std::move(one.value().results.front()));
                    }
                    callback(std::move(page));
                });
        });
}

} // namespace parsleytrack::relay
