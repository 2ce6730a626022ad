#pragma once

#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace parsleytrack::allotments
{

/// The fraction of all limits that the nodes that this one sees may use, over
/// time. The nodes that may be running unseen use the rest.
class group_share
{
public:
    /// A time in which the share was the same.
    struct segment
    {
        time_point from;
        double share = 1.0;
        /// Seconds of the rate to be deducted at the start, for what nodes that
        /// were just lost may have sent before their loss was noticed.
        double charge_s = 0.0;
    };

    explicit group_share(time_point now);

    /// A decrease takes effect at once. An increase takes effect when it has
    /// lasted, since nodes that appear still use their share as another part
    /// of the group for a moment.
    ///
    /// \param live Nodes that are alive, including this one; above zero.
    /// \param lost Nodes that may be running although this one does not see
    /// them.
    void update(std::size_t live, std::size_t lost, time_point now);

    double current() const { return this->history.back().share; }

    /// \returns The segments, oldest first; never empty. Older ones are
    /// dropped when there are many.
    const std::deque<segment>& segments() const { return this->history; }

private:
    void add(double share, double charge_s, time_point now);

    std::deque<segment> history;
    /// The smallest share since an increase began, and when that was.
    std::optional<double> next_share;
    time_point next_since;
};

} // namespace parsleytrack::allotments
