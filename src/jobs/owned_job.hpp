#pragma once

#include "jobs/job_commit.hpp"
#include "jobs/job_input.hpp"
#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "units/numbers.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// A job as its owner runs it: which items wait, run or have ended, and which
/// outcomes are committed. Callers read committed results only, so that the
/// position of a result never changes.
class owned_job
{
public:
    /// \param submitted The job as submitted.
    /// \param committed The state as last read from or written to the store.
    /// \param revision The state's revision.
    owned_job(job_input submitted, job_state committed,
              store_revision revision);

    const job_input& input() const { return this->submitted; }
    const job_state& state() const { return this->committed; }
    store_revision revision() const { return this->committed_revision; }

    /// \returns The newest configuration by which the job was accepted or that
    /// an owner has known. Items must not be run by an older one.
    configuration_version newest_configuration() const
    {
        return std::max(this->submitted.accepted_by,
                        this->committed.configuration);
    }

    /// Marks the next waiting item as running.
    ///
    /// \param may_start Whether an item may start now; all may if it is empty.
    /// \returns The item; absent if none may start or the job is cancelled.
    std::optional<std::size_t> start_next_item(
        const std::function<bool(std::size_t item)>& may_start = {});

    /// \returns Whether an item is waiting to run.
    bool has_waiting_item() const { return !this->waiting.empty(); }

    /// Requeues an item whose run ended without an outcome; it runs next.
    void return_item(std::size_t item);

    /// Records that a replica failed the item.
    ///
    /// \param max_failures Failures after which the item is abandoned.
    /// \returns Whether it was abandoned.
    bool fail_item(std::size_t item, int max_failures);

    /// \returns How often replicas have failed the item.
    int failures_of(std::size_t item) const { return this->failures.at(item); }

    /// Ends an item with its complete output.
    void complete_item(std::size_t item, std::string output);

    /// Ends an item without an output.
    void abandon_item(std::size_t item);

    /// Abandons all items that are waiting to run.
    void abandon_waiting_items();

    /// \returns Whether outcomes are waiting to be committed.
    bool has_uncommitted() const { return !this->uncommitted.empty(); }

    /// \returns Whether an outcome without an output is waiting to be
    /// committed. It must be committed at once, since another owner would send
    /// the item to replicas again.
    bool has_uncommitted_failure() const;

    /// Moves waiting outcomes into a commit.
    ///
    /// \param release Whether to subtract the tokens of ended items from the
    /// route's usage; always done with the last outcome.
    /// \returns The commit to write; absent if there is nothing to commit,
    /// another commit is in progress or the job is cancelled.
    std::optional<job_commit> begin_commit(bool release);

    /// \returns Whether a commit is in progress.
    bool is_committing() const { return this->committing; }

    /// Makes the state of an applied commit the committed state.
    void commit_applied(const job_commit& commit, store_revision revision);

    /// Returns the outcomes of a commit that was not applied to the queue.
    void commit_failed(const job_commit& commit);

    /// \returns The bytes of the items and of their outputs, which this object
    /// holds.
    std::size_t bytes() const
    {
        return this->input_bytes + this->held_output_bytes;
    }

    /// \returns The bytes of the outputs, committed or not, which this object
    /// holds.
    std::size_t output_bytes() const { return this->held_output_bytes; }

    /// \returns The bytes of the outputs that wait to be committed.
    std::size_t uncommitted_bytes() const;

    /// Frees the committed outputs. They are in the store.
    void release_outputs();

    /// Replaces the state with the one that another node has written.
    void set_committed(job_state state, store_revision revision);

    /// \param after Position of the first result.
    /// \param max_bytes Limit on the total size of the outputs; the first
    /// result is returned whatever its size.
    /// \returns The page; absent if the first result's output was released.
    std::optional<job_page> page(std::size_t after,
                                 std::size_t max_bytes) const;

private:
    struct ended_item
    {
        std::size_t item = 0;
        bool completed = false;
        std::string output;
    };

    void end_item(ended_item ended);
    /// \returns Position of the first committed outcome whose output is held.
    std::size_t first_kept() const
    {
        return this->committed.outcomes.size() - this->kept_outputs.size();
    }
    token_count unfinished_tokens(const job_state& state) const;

    job_input submitted;
    job_state committed;
    store_revision committed_revision;
    /// Outputs of the last committed outcomes.
    std::vector<std::string> kept_outputs;
    std::deque<std::size_t> waiting;
    std::vector<int> failures;
    std::deque<ended_item> uncommitted;
    bool committing = false;
    std::size_t input_bytes = 0;
    std::size_t held_output_bytes = 0;
};

} // namespace parsleytrack::jobs
