#pragma once

#include "jobs/job_state.hpp"
#include "relay/relay_context.hpp"
#include "relay/usage_tracker.hpp"
#include "units/result.hpp"

#include <functional>
#include <memory>

namespace parsleytrack::relay
{

/// Cancels jobs: marks the record as cancelled and subtracts the job's waiting
/// tokens from the route's usage, in one transaction.
class job_cancellation
{
public:
    /// Gets the state of the ended job, or why it could not be cancelled.
    using end_callback = std::function<void(result<jobs::job_state>)>;

    /// \param node Outlives this object.
    /// \param usages Outlives this object.
    job_cancellation(const relay_context& node, usage_tracker& usages);

    void cancel(const job_id& job, end_callback callback);

private:
    void read(const job_id& job, int attempt, end_callback callback);
    void write(jobs::job_state state, store_revision revision, int attempt,
               end_callback callback);

    const relay_context& context;
    usage_tracker& usages;
};

} // namespace parsleytrack::relay
