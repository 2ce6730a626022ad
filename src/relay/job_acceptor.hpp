#pragma once

#include "jobs/job_input.hpp"
#include "jobs/job_state.hpp"
#include "relay/relay_context.hpp"
#include "relay/usage_tracker.hpp"
#include "units/result.hpp"

#include <functional>
#include <memory>

namespace parsleytrack::relay
{

/// A job that has been accepted.
struct accepted_job
{
    jobs::job_state state;
    store_revision revision;
    /// Whether an earlier submission of the job was accepted.
    bool already_accepted = false;
};

/// Accepts submissions: writes the job's records and adds its tokens to the
/// route's usage, in one transaction.
class job_acceptor
{
public:
    using accept_callback = std::function<void(result<accepted_job>)>;

    /// \param node Outlives this object.
    /// \param usages Outlives this object.
    job_acceptor(const relay_context& node, usage_tracker& usages);

    /// Accepts a job, or finds that it was accepted before.
    ///
    /// \param input The job as submitted.
    /// \param owner The node that will run the job.
    /// \param limit Tokens that may wait on the route; 0 for "no limit".
    /// \param timeout How long to try to write to the store.
    void accept(std::shared_ptr<const jobs::job_input> input,
                const node_info& owner, token_count limit, duration timeout,
                accept_callback callback);

private:
    struct submission;

    void write(const std::shared_ptr<submission>& entry);
    void handle_outcome(const std::shared_ptr<submission>& entry,
                        const result<key_value::transaction_outcome>& outcome);
    void read_usage(const std::shared_ptr<submission>& entry);
    void reject_over_limit(const std::shared_ptr<submission>& entry,
                           token_count waiting);

    const relay_context& context;
    usage_tracker& usages;
};

} // namespace parsleytrack::relay
