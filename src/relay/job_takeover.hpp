#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_ages.hpp"
#include "jobs/owned_job.hpp"
#include "relay/relay_context.hpp"
#include "units/ids.hpp"

#include <functional>
#include <memory>
#include <set>

namespace parsleytrack::relay
{

/// Finds jobs whose owner is gone and takes over those for which this node is
/// the preferred owner.
class job_takeover
{
public:
    struct callbacks
    {
        /// \returns Whether this node already runs the job.
        std::function<bool(const job_id&)> is_owned;
        /// A job has been taken over.
        std::function<void(jobs::owned_job, jobs::job_progress)> on_taken_over;
        /// A finished job, which this node does not run, was found.
        std::function<void(const jobs::job_state&, store_revision)> on_finished;
        /// The record of a job that this node runs was read.
        std::function<void(const key_value::stored_record&)> on_own_record;
    };

    /// \param node Outlives this object.
    /// \param ages Outlives this object.
    job_takeover(const relay_context& node, jobs::job_ages& ages,
                 callbacks hooks);

    /// Stops looking for jobs to take over.
    void stop();

private:
    void schedule(duration delay);
    void scan();
    void examine(const key_value::stored_record& record);
    bool should_claim(const jobs::job_state& state) const;
    void claim(jobs::job_state state, store_revision revision);
    void load(const jobs::job_state& state, store_revision revision);
    void load_outputs(const jobs::job_state& state, store_revision revision,
                      const jobs::job_input& input);
    void load_progress(const std::shared_ptr<jobs::owned_job>& job);
    void abandon(const job_id& job, const char* step,
                 const std::string& reason);

    const relay_context& context;
    jobs::job_ages& ages;
    callbacks hooks;
    /// Jobs that are being taken over.
    std::set<job_id> claims_in_progress;
    time_point started;
    bool scanning = false;
    bool stopped = false;
    net::timer scan_timer;
};

} // namespace parsleytrack::relay
