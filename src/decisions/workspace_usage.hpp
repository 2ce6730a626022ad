#pragma once

#include "sharing/decaying_sum.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>

namespace parsleytrack
{

/// How much each workspace has lately asked of a replica, so that one that
/// takes far more than the others leaves them room.
class workspace_usage
{
public:
    /// A request of a workspace has come, whatever becomes of it.
    void asked(const workspace_name& workspace, time_point now);

    /// \returns Whether a workspace asks for several times what the others do
    /// on average; false while it is alone.
    bool over_share(const workspace_name& workspace, time_point now) const;

private:
    void forget_idle(time_point now);

    std::map<workspace_name, sharing::decaying_sum> requests;
    time_point next_cleanup = time_point::min();
};

} // namespace parsleytrack
