#pragma once

#include "decisions/gate_work.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack
{

/// Waiting online requests, shared out evenly between workspaces: the
/// workspace that was served least goes next, and within it the earliest
/// deadline.
class fair_queue
{
public:
    /// Adds a request.
    void push(const gate_work& work);

    /// Takes the next request.
    ///
    /// \returns The request; nothing when the queue is empty.
    std::optional<gate_work> pop();

    /// Takes the next request among the workspaces that a predicate accepts.
    ///
    /// \param accept Gets a workspace_name, returns bool.
    template <class Predicate>
    std::optional<gate_work> pop_if(const Predicate& accept)
    {
        auto next = this->lanes.end();
        for (auto entry = this->lanes.begin(); entry != this->lanes.end();
             ++entry)
        {
            const bool is_better = next == this->lanes.end() ||
                                   entry->second.served < next->second.served;
            if (is_better && accept(entry->first))
            {
                next = entry;
            }
        }
        return next == this->lanes.end() ? std::nullopt
                                         : std::optional(this->serve(next));
    }

    /// \param visit Gets each workspace_name and how many of its requests
    /// wait.
    template <class Visitor>
    void for_each_workspace(const Visitor& visit) const
    {
        for (const auto& [workspace, entry] : this->lanes)
        {
            visit(workspace, static_cast<int>(entry.waiting.size()));
        }
    }

    /// Takes a request out.
    ///
    /// \returns Whether it was there.
    bool remove(work_id id);

    /// Takes out all requests whose deadline has passed.
    std::vector<gate_work> take_expired(time_point now);

    /// Takes out the request with the latest deadline of the workspace that
    /// has the most waiting.
    ///
    /// \returns The request; nothing when the queue is empty.
    std::optional<gate_work> take_from_longest();

    /// Takes out all requests.
    std::vector<gate_work> take_all();

    /// \returns How many requests are waiting.
    int size() const { return static_cast<int>(this->owners.size()); }
    bool empty() const { return this->owners.empty(); }

    /// \returns How many requests of a workspace are waiting.
    int size_of(const workspace_name& workspace) const;

    /// \returns How many workspaces have requests waiting.
    int workspace_count() const;

    /// \returns The most requests that any workspace has waiting.
    int longest() const;

    /// \returns The earliest deadline of all that wait.
    std::optional<time_point> earliest_deadline() const;

    /// \param workspace Whose request is to be added.
    /// \returns How many requests would be taken before it.
    int position_of_new(const workspace_name& workspace) const;

private:
    struct by_deadline
    {
        bool operator()(const gate_work& left, const gate_work& right) const
        {
            return left.deadline != right.deadline
                       ? left.deadline < right.deadline
                       : left.id < right.id;
        }
    };
    struct lane
    {
        std::set<gate_work, by_deadline> waiting;
        /// Requests that were served, on the queue's virtual clock.
        std::int64_t served = 0;
    };
    using lane_map = std::map<workspace_name, lane>;

    gate_work serve(lane_map::iterator next);
    gate_work take(lane_map::iterator owner,
                   std::set<gate_work, by_deadline>::iterator entry);

    lane_map lanes;
    std::map<work_id, gate_work> owners;
    /// The lane that was served last stood here; new lanes begin here, so that
    /// a workspace saves up nothing while it is away.
    std::int64_t virtual_time = 0;
};

} // namespace parsleytrack
