#pragma once

#include "sharing/priority_turns.hpp"

#include <cstddef>
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
};

/// Determines the lane whose next request is served: those on time before late
/// ones, then by priority, then the workspace with the least use. As all
/// workspaces have equal shares, this approaches max-min fairness. A lower
/// priority is served first when its turn has come.
class service_order
{
public:
    /// \param lanes All lanes in order of lateness and priority; each has a
    /// request.
    /// \param expected_use Slot time that a granted request is expected to use.
    /// \param turns The grants so far.
    /// \param guarantee Whether lower priorities get turns.
    service_order(const std::vector<lane>& lanes, double expected_use,
                  const priority_turns& turns, bool guarantee);

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

    /// \returns The index of the class whose turn has come; the first one if
    /// there is none.
    std::size_t choose_class() const;
    /// Removes the first entry of the current class.
    entry take_first();
    void put(const entry& changed);

    std::vector<lane_class> classes;
    /// The most urgent class with requests, and the one chosen by next().
    std::size_t first = 0;
    std::size_t current = 0;
    double cost;
    priority_turns grant_turns;
    bool with_turns;
};

} // namespace parsleytrack::sharing
