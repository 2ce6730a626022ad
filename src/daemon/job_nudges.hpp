#pragma once

#include "daemon/call_set.hpp"
#include "daemon/node_context.hpp"
#include "decisions/job_record.hpp"
#include "wire/generated/job_types.h"

#include <functional>
#include <vector>

namespace parsleytrack
{

/// The messages by which nodes make each other look at a job. They may be
/// lost: whoever would act on one also finds the same in the platform's store.
class job_nudges
{
public:
    /// \param node What the modules share.
    /// \param on_nudge Gets those that are meant for this node.
    job_nudges(node_context& node,
               std::function<void(const wire::job_nudge&)> on_nudge);

    /// Tells the node that coordinates a job.
    ///
    /// \param kind What happened.
    /// \param job The job.
    /// \param lot The lot, if it happened to one.
    void tell_coordinator(wire::nudge_kind::type kind, const job_id& job,
                          int lot = 0);

    /// Tells all nodes.
    void tell_all(wire::nudge_kind::type kind, const job_id& job);

    /// Makes a node the owner of lots of a job.
    void assign(const node_id& id, const job_id& job, const job_record& record,
                const std::vector<int>& lots);

private:
    void send(const node_id& id, const wire::job_nudge& nudge);

    node_context& context;
    std::function<void(const wire::job_nudge&)> receive;
    call_set calls;
};

} // namespace parsleytrack
