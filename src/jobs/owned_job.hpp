#pragma once

#include "jobs/job_commit.hpp"
#include "jobs/job_input.hpp"
#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "units/numbers.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// A job as its owner runs it: which items wait, run or have ended, and what
/// of it has been committed. Callers only read what has been committed, so that
/// a result never changes its place.
class owned_job
{
public:
    /// \param submitted What was submitted.
    /// \param committed The state as it was read or written.
    /// \param revision The state's revision.
    /// \param outputs Outputs of the agreed outcomes, in their order.
    owned_job(job_input submitted, job_state committed, store_revision revision,
              std::vector<std::string> outputs);

    const job_input& input() const { return this->submitted; }
    const job_state& state() const { return this->committed; }
    store_revision revision() const { return this->committed_revision; }

    /// \returns The next item to run; it counts as running from then on.
    std::optional<std::size_t> start_next_item();

    /// \returns Whether an item waits to be run.
    bool has_waiting_item() const { return !this->waiting.empty(); }

    /// The run ended without an outcome and is to be repeated.
    void return_item(std::size_t item);

    /// A replica has failed the item.
    ///
    /// \param max_failures Failures after which the item is given up.
    /// \returns Whether it was given up.
    bool fail_item(std::size_t item, int max_failures);

    /// The item has its whole output.
    void complete_item(std::size_t item, std::string output);

    /// The item ends without an output.
    void abandon_item(std::size_t item);

    /// Gives up all items that do not run and have no outcome.
    void abandon_waiting_items();

    /// \returns Whether outcomes wait to be written.
    bool has_uncommitted() const { return !this->uncommitted.empty(); }

    /// \returns Whether one of them ended without an output. It is to be
    /// written at once, since another owner would send it to replicas again.
    bool has_uncommitted_failure() const;

    /// \param release Whether the tokens of ended items are to be taken off the
    /// route's usage; always so with the last outcome.
    /// \returns What is to be written next; absent when there is nothing, or
    /// another commit is under way.
    std::optional<job_commit> begin_commit(bool release);

    /// \returns Whether a commit is under way.
    bool is_committing() const { return this->committing; }

    /// The commit was applied.
    void commit_applied(const job_commit& commit, store_revision revision);

    /// The commit was not applied; its outcomes wait for the next one.
    void commit_failed(const job_commit& commit);

    /// Takes in the state as another node has written it.
    void set_committed(job_state state, store_revision revision);

    /// \param after Position of the first result.
    /// \param max_bytes Bound of the outputs; one result is always given.
    job_page page(std::size_t after, std::size_t max_bytes) const;

private:
    struct ended_item
    {
        std::size_t item = 0;
        bool completed = false;
        std::string output;
    };

    void end_item(ended_item ended);
    token_count unfinished_tokens(const job_state& state) const;

    job_input submitted;
    job_state committed;
    store_revision committed_revision;
    std::vector<std::string> committed_outputs;
    std::deque<std::size_t> waiting;
    std::vector<int> failures;
    std::deque<ended_item> uncommitted;
    bool committing = false;
};

} // namespace parsleytrack::jobs
