#pragma once

#include "decisions/node_info.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>

namespace parsleytrack
{

/// Says whether an owner of lots may still be at work. One that has gone is
/// given some time to come back, since taking its lots over costs the work
/// that it has not committed. Nothing unsafe follows from a wrong answer.
class owner_liveness
{
public:
    /// \param lease How long an owner may be gone.
    explicit owner_liveness(duration lease) : lease_time(lease) {}

    /// Takes in what is believed of the nodes.
    void update(time_point now, const std::map<node_id, node_info>& nodes);

    /// \returns Whether the node may still own lots.
    bool is_usable(time_point now, const node_id& node);

    /// \returns Whether the node is there now.
    bool is_present(const node_id& node) const
    {
        return this->present.count(node) > 0;
    }

private:
    duration lease_time;
    std::map<node_id, node_state> present;
    std::map<node_id, time_point> missing_since;
};

} // namespace parsleytrack
