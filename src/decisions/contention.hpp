#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// Notices when requests keep finding no free slot. A single one that goes to
/// another replica is no contention; several within a second are.
class contention
{
public:
    /// A request has found no free slot.
    ///
    /// \param may_go_elsewhere Whether another replica may have one.
    /// \param now The time.
    void found_none(bool may_go_elsewhere, time_point now);

    /// \returns Whether requests have lately kept finding no free slot.
    bool lasts(time_point now) const { return now < this->until; }

private:
    time_point window_start;
    int in_window = 0;
    time_point until = time_point::min();
};

} // namespace parsleytrack
