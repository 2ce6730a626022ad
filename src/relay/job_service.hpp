#pragma once

#include "budgets/byte_budget.hpp"
#include "jobs/job_ages.hpp"
#include "net/http_exchange.hpp"
#include "relay/job_acceptor.hpp"
#include "relay/job_call.hpp"
#include "relay/job_cancellation.hpp"
#include "relay/job_cleaner.hpp"
#include "relay/job_owner.hpp"
#include "relay/job_peers.hpp"
#include "relay/job_reader.hpp"
#include "relay/job_takeover.hpp"
#include "relay/read_admission.hpp"
#include "relay/relay_context.hpp"
#include "relay/shared_reads.hpp"
#include "relay/slot_client.hpp"
#include "relay/usage_tracker.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Handles callers' requests about batch jobs, and runs the jobs that this node
/// owns.
class job_service
{
public:
    /// \param node Outlives this object.
    /// \param slot_source Outlives this object.
    job_service(const relay_context& node, slot_client& slot_source);

    /// Handles the submission of a job.
    ///
    /// \param workspace The caller's workspace; null if there are none.
    void submit(const std::shared_ptr<net::http_exchange>& exchange,
                const std::shared_ptr<const routing::route_table>& table,
                const routing::route& route,
                const workspaces::workspace* workspace);

    /// Handles a request about a job that was accepted before.
    ///
    /// \param workspace The caller's workspace; null if there are none. Jobs of
    /// others do not exist for it.
    void handle_call(const std::shared_ptr<net::http_exchange>& exchange,
                     const workspaces::workspace* workspace, job_call call);

    /// \returns The jobs that this node runs, and finished ones still in
    /// memory.
    std::vector<const jobs::owned_job*> owned_jobs() const;

    /// \returns A lower bound of the job's age.
    duration age_of(const job_id& job) const
    {
        return this->ages.age_of(job, net::event_loop::now());
    }

    /// Releases all jobs for a planned stop.
    void stop();

private:
    void handle_submission(const std::shared_ptr<net::http_exchange>& exchange,
                           jobs::job_input input, const routing::route& route,
                           std::shared_ptr<const void> room);
    void handle_acceptance(const std::shared_ptr<net::http_exchange>& exchange,
                           std::shared_ptr<const jobs::job_input> input,
                           time_point received,
                           const result<accepted_job>& accepted);
    void read_results(const std::shared_ptr<net::http_exchange>& exchange,
                      const job_call& call);
    void read_body(const std::shared_ptr<net::http_exchange>& exchange,
                   const job_call& call);
    /// \param done Gets the response to all callers that share the read.
    void begin_results_read(const job_call& call, duration wait,
                            const shared_reads::end_callback& done);
    void begin_body_read(const job_call& call,
                         const shared_reads::end_callback& done);
    /// Passes a page on, or its first result if there is no room for more.
    void finish_results_read(jobs::job_page page, std::size_t after,
                             read_admission::claim room,
                             const shared_reads::end_callback& done);
    /// Passes a response on if there is room for it.
    void finish_read(shared_response response,
                     const shared_reads::end_callback& done);
    void export_metrics() const;
    void cancel_job(const std::shared_ptr<net::http_exchange>& exchange,
                    const job_call& call);
    void refresh(const job_id& job);
    /// Runs a job if there is room for it. Otherwise it stays in the store,
    /// where a scan of the records finds it.
    void start_job(jobs::owned_job job, jobs::job_progress progress);
    /// \returns Whether the jobs that this node runs leave room for more.
    bool has_room(std::size_t bytes) const;
    /// Looks for jobs that had no room, once there is some.
    void resume_postponed_jobs();
    void run_periodic_tasks();
    /// Hands the jobs over whose items this node cannot run.
    void hand_over_jobs();
    void handle_link_change(bool reaches_replicas);
    /// Reviews what waits in all jobs, once for all changes so far.
    void schedule_review();

    const relay_context& context;
    slot_client& slots;
    usage_tracker usages;
    jobs::job_ages ages;
    budgets::byte_budget submissions;
    /// For the outputs of the jobs that this node runs.
    budgets::byte_budget outputs;
    job_acceptor acceptor;
    read_admission admission;
    job_reader reader;
    shared_reads reads;
    job_cancellation cancellation;
    job_cleaner cleaner;
    job_takeover takeover;
    job_peers peers;
    std::map<job_id, std::unique_ptr<job_owner>> owned;
    /// Jobs that this node hands over.
    std::vector<std::unique_ptr<job_owner>> handed_over;
    /// When the jobs are handed over, and when those that were are freed.
    net::timer handover_timer;
    /// When to evict a finished job from memory; it stays in the store.
    std::map<job_id, time_point> evict_at;
    net::timer periodic_timer;
    bool review_is_scheduled = false;
    /// Whether a job has found no room since the last look for such jobs.
    bool has_postponed = false;
    bool stopped = false;
};

} // namespace parsleytrack::relay
