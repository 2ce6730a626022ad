#pragma once

#include "decisions/work_id.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"
#include "units/work_class.hpp"

namespace parsleytrack
{

/// What a gate needs to know of a request or batch item to decide on it.
struct gate_work
{
    work_id id;
    work_class kind = work_class::online;
    workspace_name workspace;
    /// Online: the first output is of no use later. Batch: the job's deadline.
    time_point deadline;
    /// Online only: it is refused with error_code::passed_back rather than
    /// queued, since another replica may have a free slot.
    bool may_pass_back = false;
    /// Batch only: no other batch item may run on the replica meanwhile.
    bool run_alone = false;
    /// Batch only: whether it may be cancelled while it runs and go on later.
    bool preemptible = true;
    /// Batch only: pieces of output that it has given, over all its starts.
    int outputs = 0;
    /// Batch only: it ran here before and was preempted.
    bool preempted = false;
};

} // namespace parsleytrack
