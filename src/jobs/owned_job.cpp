#include "jobs/owned_job.hpp"

#include "jobs/page_builder.hpp"
#include "units/invariant.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace parsleytrack::jobs
{

namespace
{

/// Limits the size of one transaction and of the state that it writes. The
/// store accepts 32 entries per transaction, two of which are the state and
/// the usage record.
constexpr std::size_t max_results_per_commit = 24;
/// Limits the outputs of one transaction; a larger output is committed alone.
constexpr std::size_t max_commit_bytes = max_page_bytes;

} // namespace

owned_job::owned_job(job_input job, job_state state, store_revision revision)
    : submitted(std::move(job)), committed(std::move(state)),
      committed_revision(revision), failures(this->submitted.items.size(), 0)
{
    std::vector<bool> has_outcome(this->submitted.items.size(), false);
    for (const item_outcome& outcome : this->committed.outcomes)
    {
        has_outcome.at(outcome.item) = true;
    }
    for (const job_item& item : this->submitted.items)
    {
        this->input_bytes += sizeof(job_item) + item.body.size();
    }
    for (std::size_t item = 0; item < has_outcome.size(); ++item)
    {
        if (!has_outcome[item])
        {
            this->waiting.push_back(item);
        }
    }
}

std::optional<std::size_t> owned_job::start_next_item(
    const std::function<bool(std::size_t item)>& may_start)
{
    if (this->committed.cancelled)
    {
        return std::nullopt;
    }
    const auto next = may_start ? std::find_if(this->waiting.begin(),
                                               this->waiting.end(), may_start)
                                : this->waiting.begin();
    if (next == this->waiting.end())
    {
        return std::nullopt;
    }
    const std::size_t item = *next;
    this->waiting.erase(next);
    return item;
}

void owned_job::return_item(std::size_t item)
{
    this->waiting.push_front(item);
}

bool owned_job::fail_item(std::size_t item, int max_failures)
{
    ++this->failures[item];
    if (this->failures[item] < max_failures)
    {
        this->waiting.push_back(item);
        return false;
    }
    this->abandon_item(item);
    return true;
}

void owned_job::complete_item(std::size_t item, std::string output)
{
    this->end_item(ended_item{item, true, std::move(output)});
}

void owned_job::abandon_item(std::size_t item)
{
    this->end_item(ended_item{item, false, {}});
}

void owned_job::abandon_waiting_items()
{
    for (const std::size_t item : std::exchange(this->waiting, {}))
    {
        this->abandon_item(item);
    }
}

void owned_job::end_item(ended_item ended)
{
    this->held_output_bytes += ended.output.size();
    this->uncommitted.push_back(std::move(ended));
}

std::size_t owned_job::uncommitted_bytes() const
{
    return std::accumulate(this->uncommitted.begin(), this->uncommitted.end(),
                           std::size_t{0},
                           [](std::size_t sum, const ended_item& ended)
                           { return sum + ended.output.size(); });
}

void owned_job::release_outputs()
{
    for (const std::string& output : std::exchange(this->kept_outputs, {}))
    {
        this->held_output_bytes -= output.size();
    }
}

bool owned_job::has_uncommitted_failure() const
{
    return std::any_of(this->uncommitted.begin(), this->uncommitted.end(),
                       [](const ended_item& ended)
                       { return !ended.completed; });
}

std::optional<job_commit> owned_job::begin_commit(bool release)
{
    if (this->committing || this->uncommitted.empty() ||
        this->committed.cancelled)
    {
        return std::nullopt;
    }
    this->committing = true;
    job_commit commit;
    commit.state = this->committed;
    commit.expected_revision = this->committed_revision;
    commit.first_position = this->committed.outcomes.size();
    std::size_t bytes = 0;
    while (!this->uncommitted.empty() &&
           commit.results.size() < max_results_per_commit)
    {
        bytes += this->uncommitted.front().output.size();
        if (!commit.results.empty() && bytes > max_commit_bytes)
        {
            break;
        }
        ended_item ended = std::move(this->uncommitted.front());
        this->uncommitted.pop_front();
        const job_item& item = this->submitted.items[ended.item];
        commit.state.outcomes.push_back(
            item_outcome{ended.item, ended.completed});
        commit.results.push_back(
            job_result{item.id, ended.completed, std::move(ended.output)});
    }
    if (release || commit.state.is_finished())
    {
        const token_count unfinished = this->unfinished_tokens(commit.state);
        commit.released_tokens = commit.state.waiting_tokens - unfinished;
        commit.state.waiting_tokens = unfinished;
    }
    return commit;
}

token_count owned_job::unfinished_tokens(const job_state& state) const
{
    token_count tokens;
    for (const job_item& item : this->submitted.items)
    {
        tokens += item.tokens;
    }
    for (const item_outcome& outcome : state.outcomes)
    {
        tokens -= this->submitted.items[outcome.item].tokens;
    }
    return tokens;
}

void owned_job::commit_applied(const job_commit& commit,
                               store_revision revision)
{
    this->committing = false;
    this->committed = commit.state;
    this->committed_revision = revision;
    for (const job_result& entry : commit.results)
    {
        this->kept_outputs.push_back(entry.output);
    }
}

void owned_job::commit_failed(const job_commit& commit)
{
    this->committing = false;
    for (std::size_t index = commit.results.size(); index > 0; --index)
    {
        const item_outcome& outcome =
            commit.state.outcomes[commit.first_position + index - 1];
        this->uncommitted.push_front(ended_item{
            outcome.item, outcome.completed, commit.results[index - 1].output});
    }
}

void owned_job::set_committed(job_state state, store_revision revision)
{
    check_invariant(state.outcomes.size() == this->committed.outcomes.size(),
                    "another node's change must keep the outcomes");
    this->committed = std::move(state);
    this->committed_revision = revision;
}

std::optional<job_page> owned_job::page(std::size_t after,
                                        std::size_t max_bytes) const
{
    const std::size_t first = this->first_kept();
    if (after < first)
    {
        return std::nullopt;
    }
    page_builder page(this->submitted.items.size(), max_bytes);
    for (std::size_t position = after;
         position < this->committed.outcomes.size(); ++position)
    {
        const item_outcome& outcome = this->committed.outcomes[position];
        const bool fits = page.add(job_result{
            this->submitted.items[outcome.item].id, outcome.completed,
            this->kept_outputs[position - first]});
        if (!fits)
        {
            break;
        }
    }
    return page.finish();
}

} // namespace parsleytrack::jobs
