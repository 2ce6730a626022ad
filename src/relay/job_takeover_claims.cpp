// Claims a job that has no owner and loads its records.

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_takeover.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

constexpr duration commit_timeout = std::chrono::seconds(5);

} // namespace

void job_takeover::claim(jobs::job_state state, store_revision revision)
{
    this->claims_in_progress.insert(state.id);
    const node_id previous = state.owner;
    state.owner = this->context.group.own().id;
    state.owner_process = this->context.group.own().process;
    state.age = this->ages.age_of(state.id, net::event_loop::now());
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(state.id), revision}};
    transaction.puts = {{job_state_key(state.id), jobs::encode(state)}};
    this->context.store.commit(
        std::move(transaction), commit_timeout,
        [this, state,
         previous](const result<key_value::transaction_outcome>& outcome)
        {
            if (outcome.has_error())
            {
                this->abandon(state.id, "write", outcome.error().message);
                return;
            }
            if (!outcome.value().applied)
            {
                this->abandon(state.id, "write", "the record has changed");
                return;
            }
            log_event(log_level::info, "job_taken_over",
                      {{"job", state.id.str()},
                       {"previous_owner", previous.str()},
                       {"outcomes", state.outcomes.size()},
                       {"items", state.item_count},
                       {"revision", outcome.value().revision.count()}});
            this->load(state, outcome.value().revision);
        });
}

void job_takeover::load(const jobs::job_state& state, store_revision revision)
{
    this->context.store.get(
        job_input_key(state.id), key_value::read_freshness::latest,
        [this, state, revision](const result<key_value::stored_record>& record)
        {
            if (record.has_error() || !record.value().exists())
            {
                this->abandon(state.id, "read_input",
                              record.has_error() ? record.error().message
                                                 : "the record is missing");
                return;
            }
            auto input = jobs::decode_input(record.value().value);
            if (input.has_error() ||
                input.value().items.size() != state.item_count)
            {
                this->abandon(state.id, "read_input", "the record is damaged");
                return;
            }
            this->load_progress(std::make_shared<jobs::owned_job>(
                std::move(input.value()), state, revision));
        });
}

void job_takeover::load_progress(const std::shared_ptr<jobs::owned_job>& job)
{
    const job_id& id = job->input().id;
    this->context.store.get(
        job_progress_key(id), key_value::read_freshness::latest,
        [this, job, id](const result<key_value::stored_record>& record)
        {
            // Without saved progress the items run from the beginning.
            result<jobs::job_progress> progress = jobs::job_progress();
            if (record.has_error())
            {
                progress = record.error();
            }
            else if (record.value().exists())
            {
                progress = jobs::decode_progress(record.value().value);
            }
            if (progress.has_error())
            {
                log_event(
                    log_level::warning, "job_progress_lost",
                    {{"job", id.str()}, {"reason", progress.error().message}});
                progress = jobs::job_progress();
            }
            this->end_load(id);
            if (this->finished_while_loading.erase(id) > 0)
            {
                log_event(log_level::info, "job_finished_while_loading",
                          {{"job", id.str()}});
                return;
            }
            this->hooks.on_taken_over(std::move(*job),
                                      std::move(progress.value()));
        });
}

void job_takeover::abandon(const job_id& job, const char* step,
                           const std::string& reason)
{
    this->end_load(job);
    this->finished_while_loading.erase(job);
    log_event(log_level::warning, "job_takeover_abandoned",
              {{"job", job.str()}, {"step", step}, {"reason", reason}});
}

} // namespace parsleytrack::relay
