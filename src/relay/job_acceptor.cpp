#include "relay/job_acceptor.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Other nodes change the same usage record; the outcome of a conflict holds
/// its newest value.
constexpr int max_conflicts = 20;
constexpr duration retry_after_over_limit = std::chrono::seconds(2);
constexpr duration retry_after_outage = std::chrono::milliseconds(500);

token_count total_tokens(const jobs::job_input& input)
{
    token_count total;
    for (const jobs::job_item& item : input.items)
    {
        total += item.tokens;
    }
    return total;
}

} // namespace

struct job_acceptor::submission
{
    std::shared_ptr<const jobs::job_input> input;
    jobs::job_state state;
    token_count limit;
    token_count waiting;
    time_point deadline;
    int conflicts = 0;
    /// Whether the known usage was just read from the store.
    bool usage_is_fresh = false;
    accept_callback callback;
};

job_acceptor::job_acceptor(const relay_context& node,
                           usage_tracker& usages_of_routes)
    : context(node), usages(usages_of_routes)
{
}

void job_acceptor::accept(std::shared_ptr<const jobs::job_input> input,
                          const node_info& owner, token_count limit,
                          duration timeout, accept_callback callback)
{
    const auto entry = std::make_shared<submission>();
    entry->input = std::move(input);
    entry->limit = limit;
    entry->deadline = net::event_loop::now() + timeout;
    entry->callback = std::move(callback);
    jobs::job_state& state = entry->state;
    state.id = entry->input->id;
    state.route_name = entry->input->route_name;
    state.workspace = entry->input->workspace;
    state.configuration = entry->input->accepted_by;
    state.owner = owner.id;
    state.owner_process = owner.process;
    state.submitted_at_ms = entry->input->submitted_at_ms;
    state.item_count = entry->input->items.size();
    state.waiting_tokens = total_tokens(*entry->input);
    this->write(entry);
}

void job_acceptor::write(const std::shared_ptr<submission>& entry)
{
    const jobs::job_state& state = entry->state;
    const usage_tracker::usage usage =
        this->usages.get(jobs::account_of(state));
    entry->waiting = usage.waiting + state.waiting_tokens;
    if (entry->limit > token_count(0) && entry->waiting > entry->limit)
    {
        if (!entry->usage_is_fresh)
        {
            this->read_usage(entry);
            return;
        }
        this->reject_over_limit(entry, usage.waiting);
        return;
    }
    const std::string usage_key = job_usage_key(jobs::account_of(state));
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(state.id), store_revision()},
                              {usage_key, usage.revision}};
    transaction.puts = {{job_input_key(state.id), jobs::encode(*entry->input)},
                        {job_state_key(state.id), jobs::encode(state)},
                        {usage_key, jobs::encode_usage(entry->waiting)}};
    this->context.store.commit(
        std::move(transaction), entry->deadline - net::event_loop::now(),
        [this, entry](const result<key_value::transaction_outcome>& outcome)
        { this->handle_outcome(entry, outcome); });
}

void job_acceptor::handle_outcome(
    const std::shared_ptr<submission>& entry,
    const result<key_value::transaction_outcome>& outcome)
{
    if (outcome.has_error())
    {
        error reason = outcome.error();
        reason.retry_after = retry_after_outage;
        entry->callback(reason);
        return;
    }
    const jobs::usage_account account = jobs::account_of(entry->state);
    if (outcome.value().applied)
    {
        const store_revision revision = outcome.value().revision;
        this->usages.set(account, {entry->waiting, revision});
        entry->callback(accepted_job{entry->state, revision, false});
        return;
    }
    if (this->usages.update_from(account, outcome.value().current))
    {
        entry->usage_is_fresh = true;
    }
    for (const key_value::stored_record& record : outcome.value().current)
    {
        if (record.key != job_state_key(entry->state.id) || !record.exists())
        {
            continue;
        }
        const auto known = jobs::decode_state(record.value);
        if (known.has_error())
        {
            entry->callback(known.error());
            return;
        }
        entry->callback(accepted_job{known.value(), record.revision, true});
        return;
    }
    ++entry->conflicts;
    if (entry->conflicts > max_conflicts ||
        net::event_loop::now() >= entry->deadline)
    {
        entry->callback(
            error{error_code::store_unavailable,
                  "too many concurrent changes of the waiting tokens",
                  ran_state::no, retry_after_outage});
        return;
    }
    this->write(entry);
}

void job_acceptor::read_usage(const std::shared_ptr<submission>& entry)
{
    const std::string key = job_usage_key(jobs::account_of(entry->state));
    this->context.store.get(
        key, key_value::read_freshness::latest,
        [this, entry](const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                error reason = record.error();
                reason.ran = ran_state::no;
                reason.retry_after = retry_after_outage;
                entry->callback(reason);
                return;
            }
            this->usages.update(jobs::account_of(entry->state), record.value());
            entry->usage_is_fresh = true;
            this->write(entry);
        });
}

void job_acceptor::reject_over_limit(const std::shared_ptr<submission>& entry,
                                     token_count waiting)
{
    // A job that was accepted before is not rejected.
    this->context.store.get(
        job_state_key(entry->state.id), key_value::read_freshness::latest,
        [entry, waiting](const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                error reason = record.error();
                reason.ran = ran_state::unknown;
                entry->callback(reason);
                return;
            }
            if (record.value().exists())
            {
                const auto known = jobs::decode_state(record.value().value);
                if (known.has_value())
                {
                    entry->callback(accepted_job{
                        known.value(), record.value().revision, true});
                    return;
                }
            }
            log_event(log_level::info, "job_refused",
                      {{"job", entry->state.id.str()},
                       {"waiting_tokens", waiting.count()},
                       {"job_tokens", entry->state.waiting_tokens.count()},
                       {"limit", entry->limit.count()}});
            entry->callback(error{error_code::workspace_limit,
                                  "the route has " +
                                      std::to_string(waiting.count()) +
                                      " tokens waiting",
                                  ran_state::no, retry_after_over_limit});
        });
}

} // namespace parsleytrack::relay
