#pragma once

#include "decisions/region_summary.hpp"
#include "units/time.hpp"

#include <map>
#include <vector>

namespace parsleytrack
{

/// The newest summary of each region. A region that is cut off keeps its last
/// one; its age tells how long ago it was heard of.
class region_table
{
public:
    struct entry
    {
        region_summary summary;
        /// When it was received here.
        time_point received;
    };

    /// Takes in a summary if it is newer.
    ///
    /// \returns Whether it was.
    bool merge(const region_summary& summary, time_point now);

    const std::map<region_name, entry>& all() const { return this->regions; }

    /// \returns All summaries, as they are passed on.
    std::vector<region_summary> summaries() const;

private:
    std::map<region_name, entry> regions;
};

} // namespace parsleytrack
