#pragma once

#include "decisions/gate_work.hpp"

#include <map>
#include <optional>
#include <vector>

namespace parsleytrack
{

/// Batch items that a gate holds ready, the least slack first.
class batch_queue
{
public:
    /// Adds an item.
    ///
    /// \param work The item.
    /// \param give_back_at When it is handed back if it has not started; set
    /// for preempted items.
    void push(const gate_work& work, std::optional<time_point> give_back_at);

    /// Takes the item with the earliest deadline.
    ///
    /// \param may_run_alone Whether an item that must run alone may be taken.
    std::optional<gate_work> pop(bool may_run_alone);

    /// \returns Whether the item was there and has been taken out.
    bool remove(work_id id);

    /// Takes out the preempted items that have waited long enough.
    std::vector<gate_work> take_overdue(time_point now);

    /// Takes out all items.
    std::vector<gate_work> take_all();

    /// \returns When the first preempted item is to be handed back.
    std::optional<time_point> earliest_give_back() const;

    int size() const { return static_cast<int>(this->entries.size()); }
    bool empty() const { return this->entries.empty(); }

private:
    struct entry
    {
        gate_work work;
        std::optional<time_point> give_back_at;
    };

    std::map<work_id, entry> entries;
};

} // namespace parsleytrack
