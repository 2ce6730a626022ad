#pragma once

#include "sharing/priority_turns.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace parsleytrack::sharing
{

/// The waiting requests of one workspace with the same priority, of which all
/// or none can still be on time.
struct lane
{
    bool late = false;
    /// 0 is the most urgent.
    int priority = 0;
    /// Slot time that the workspace uses.
    double use = 0.0;
    /// Late requests: the lane of the same workspace and priority with those on
    /// time, which precedes this one.
    std::optional<std::size_t> after = std::nullopt;
};

/// Determines the lane whose next request is served: those on time before late
/// ones, then by priority, then the workspace with the least use. As all
/// workspaces have equal shares, this approaches max-min fairness. Late
/// requests of a workspace precede requests on time of the same priority and
/// another workspace with more use. Another priority is served first when its
/// turn has come.
class service_order
{
public:
    /// \param lanes All lanes in order of lateness and priority; each has a
    /// request.
    /// \param expected_use Slot time that a granted request is expected to use.
    /// \param turns The grants so far.
    /// \param is_shared Whether workspaces share the slots. Otherwise no
    /// priority gets turns and late requests go last.
    service_order(const std::vector<lane>& lanes, double expected_use,
                  const priority_turns& turns, bool is_shared);

    /// \returns The index of the lane that is next; nothing when no requests
    /// are left.
    std::optional<std::size_t> next();

    /// Records that the request found by next() gets a slot.
    ///
    /// \param has_more Whether its lane has another request.
    void grant(bool has_more);

    /// Records that the request found by next() cannot be served.
    void skip(bool has_more);

    /// \returns The grants so far, with those of this object.
    const priority_turns& turns() const { return this->grant_turns; }

private:
    struct entry
    {
        double use;
        std::size_t lane;

        /// The top of a heap is the entry with the least use.
        bool operator<(const entry& other) const
        {
            return this->use != other.use ? this->use > other.use
                                          : this->lane > other.lane;
        }
    };
    struct lane_class
    {
        bool late = false;
        int priority = 0;
        std::vector<entry> entries;
        /// Most calls only serve the first class, so others are not sorted.
        bool is_heap = false;
    };

    /// \returns The class whose turn has come, if any.
    std::optional<std::size_t> class_by_turn() const;
    /// \returns The first class, or that of late requests of the same priority
    /// if their workspace has less use.
    std::size_t class_by_use();
    /// \returns The entry with the least use.
    const entry& first_of(lane_class& chosen);
    /// Removes the first entry of the current class.
    entry take_first();
    static void put(lane_class& target, const entry& added);
    /// Goes on to the late requests of a workspace whose requests on time have
    /// all been visited.
    void release_late(const entry& visited);

    std::vector<lane_class> classes;
    /// The most urgent class with requests, and the one chosen by next().
    std::size_t first = 0;
    std::size_t current = 0;
    bool is_turn = false;
    /// Lanes of late requests by the lane that precedes them.
    std::map<std::size_t, std::size_t> late_lanes;
    double cost;
    priority_turns grant_turns;
    bool shared;
};

} // namespace parsleytrack::sharing
