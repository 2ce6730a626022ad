#pragma once

#include "decisions/gate_work.hpp"

#include <map>
#include <optional>

namespace parsleytrack
{

/// The work that a gate has started and that has not ended.
class running_set
{
public:
    /// One piece of work at the replica.
    struct entry
    {
        gate_work work;
        time_point started;
        bool has_output = false;
        bool stopping = false;
        /// Batch: it is to wait at the gate again once its slot is free.
        bool requeue = false;
    };

    void add(const gate_work& work, time_point now);

    /// \returns The work, or null when it does not run.
    entry* find(work_id id);

    /// Takes work out that has ended.
    entry remove(work_id id);

    /// \returns Batch work that is best cancelled first; nothing when none
    /// can be.
    std::optional<work_id> choose_victim() const;

    /// \returns Batch work that has not given output in its current run and
    /// can be cancelled; nothing when there is none.
    std::optional<work_id> choose_without_output() const;

    int size() const { return static_cast<int>(this->entries.size()); }
    bool empty() const { return this->entries.empty(); }

    /// \returns How much work of a class runs.
    int count(work_class kind) const;

    /// \returns How much work is being cancelled.
    int stopping_count() const;

    /// \returns Whether any work has not given output yet.
    bool awaits_output() const;

    /// \returns Whether an item runs that must run alone.
    bool runs_alone() const;

    /// \returns How long the oldest online work has gone without any output.
    duration longest_without_output(time_point now) const;

    const std::map<work_id, entry>& all() const { return this->entries; }

private:
    std::map<work_id, entry> entries;
};

} // namespace parsleytrack
