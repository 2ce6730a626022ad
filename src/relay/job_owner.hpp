#pragma once

#include "budgets/variable_claim.hpp"
#include "jobs/item_retries.hpp"
#include "jobs/job_ages.hpp"
#include "jobs/owned_job.hpp"
#include "relay/item_run.hpp"
#include "relay/progress_tracker.hpp"
#include "relay/relay_context.hpp"
#include "relay/result_readers.hpp"
#include "relay/running_wait.hpp"
#include "relay/slot_client.hpp"
#include "relay/state_confirmation.hpp"
#include "relay/usage_tracker.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

/// Runs the items of one job and commits their results.
class job_owner
{
public:
    /// \param node Outlives this object.
    /// \param slot_source Outlives this object.
    /// \param usages Outlives this object.
    /// \param ages Outlives this object.
    /// \param outputs The node's memory for outputs; outlives this object.
    /// \param known Progress of the items that an earlier owner has saved.
    /// \param on_lost Called when another node has taken the job over. This
    /// object may be destroyed once the callback has returned, not earlier.
    job_owner(const relay_context& node, slot_client& slot_source,
              usage_tracker& usages, const jobs::job_ages& ages,
              budgets::byte_budget& outputs, jobs::owned_job owned,
              jobs::job_progress known, std::function<void()> on_lost);
    ~job_owner();
    job_owner(const job_owner&) = delete;
    job_owner& operator=(const job_owner&) = delete;

    /// Starts waiting items, saves progress when due, and abandons the job when
    /// it has expired or its route was removed. To be called periodically.
    void start_items();

    /// Applies a change of the configuration or of the list of replicas: a run
    /// that waits for a slot ends, and begins anew, if its item would now be
    /// given another service, priority or due time.
    void review_waiting_runs();

    /// Called when the next owner of a job is written.
    using handed_over_callback =
        std::function<void(const node_info& next, store_revision revision)>;

    /// Aborts all runs for a planned stop and hands the job over: saves the
    /// progress and names the next owner in the job's record. If that fails,
    /// the next owner is found by a scan of the records.
    ///
    /// \param next The node that goes on with the job; absent if there is none.
    void stop(const std::optional<node_info>& next,
              handed_over_callback on_handed_over);

    /// Applies the job's record if another node has written a newer one.
    void apply_record(const key_value::stored_record& record);

    /// Gets a page, or error_code::store_unavailable if it is not known whether
    /// another node has committed more results.
    using page_callback = std::function<void(result<jobs::job_page>)>;

    /// Reads results. A page without any is given only if the job's state is
    /// known to be recent. Results that are in the store only are an error.
    ///
    /// \param after Position of the first result.
    /// \param wait How long to wait if there is no result yet.
    void read(std::size_t after, duration wait, page_callback callback);

    const jobs::owned_job& job() const { return this->owned; }

private:
    /// Most of `run_limit`; limits the messages to the broker for large jobs.
    static constexpr std::size_t max_runs = 32;

    /// A read that waits until the job's state is known.
    struct unconfirmed_reader
    {
        std::size_t after = 0;
        page_callback callback;
        net::timer expiry;
    };

    void end_runs();
    void return_running_items();
    /// \returns Whether another item may run, and there is memory for its
    /// output.
    bool may_start_item() const;
    /// Allows one run less than there were when the memory was used up.
    void lower_run_limit();
    /// Allows another run if there is memory for it.
    void raise_run_limit();
    /// Brings the claim up to what this object holds of outputs.
    void claim_outputs();
    /// Lets go of committed outputs if further ones need their memory.
    void release_outputs();
    /// \returns The page; error_code::store_unavailable if its results are in
    /// the store only.
    result<jobs::job_page> page_from(std::size_t after) const;
    /// Gives a page without results, once it is known that there are none.
    void confirm_page(std::size_t after, page_callback callback);
    /// Gives the pages that wait for it.
    ///
    /// \param sent When the read or commit was sent that the store's answer
    /// confirms.
    void confirm_outcomes(time_point sent);
    void fail_unconfirmed();
    void start_item(std::size_t item, const item_assignment& assignment);
    /// \returns The job's route in the current configuration; null if there is
    /// none.
    const routing::route* current_route() const;
    /// \returns What an item is given now. An item that has begun goes on at
    /// its service if that may have it.
    item_assignment assign(std::size_t item, const routing::route& route);
    /// \returns The priority of the job's items: its workspace's or the
    /// route's.
    int priority_on(const routing::route& route) const;
    /// \returns Whether an item that has a slot may be sent to its service.
    bool keeps_service(std::size_t item) const;
    /// \returns Whether a run that waits has what its item is given now.
    bool is_up_to_date(const item_run& run, const routing::route& route) const;
    /// Logs for how long items have waited for a slot, and where.
    void log_waiting_runs();
    /// \param usable The replicas that may run the item.
    /// \returns Those at which it must not run now.
    std::set<replica_id> avoided_replicas(std::size_t item,
                                          const service_name& service,
                                          const std::set<replica_id>& usable);
    /// \param usable The replicas that may run the item.
    /// \returns Replicas that may run another version than is listed. Empty for
    /// an item that has not begun if there is no other.
    std::set<replica_id> doubtful_replicas(std::size_t item,
                                           const service_name& service,
                                           const std::set<replica_id>& usable);
    /// \returns The replicas that may run the item. Its progress is erased if
    /// those of the version that has begun it have left, or if another service
    /// has.
    std::set<replica_id> usable_replicas(std::size_t item,
                                         const service_name& service);
    /// Forgets an item that has an outcome.
    void forget(std::size_t item);
    /// Discards an item's output.
    ///
    /// \param version The version that it is of, for the log.
    void start_anew(std::size_t item, const software_version& version);
    /// Lets an item wait after a run that was too short for the list of
    /// replicas to show which process, of which version, it was at.
    void hold_unconfirmed(std::size_t item, const item_run& run);
    /// Keeps the output of such a run only if the list still names the version
    /// and would show a change.
    void confirm_version(std::size_t item);
    /// Calls start_items() when the next item that pauses may start.
    void schedule_start();
    void handle_item_end(std::size_t item, item_run_result end,
                         const std::string& reason);
    void log_run_end(std::size_t item, const item_run& run, const char* outcome,
                     const std::string& reason) const;
    /// \returns The latest time at which the item may be sent to a replica; if
    /// absent, its run is notified once the job's state has been read.
    std::optional<time_point> may_send(std::size_t item);
    std::optional<time_point> start_limit();
    /// Reads the job's state until it is known or the store counts as away.
    void confirm_state();
    void check_state_wait();
    void read_state();
    /// \returns Whether the job still runs, on this node.
    bool is_unchanged(const key_value::stored_record& record) const;
    bool has_same_outcomes(const key_value::stored_record& record) const;
    void handle_state(const key_value::stored_record& record);
    /// Lets the items go on that wait for the job's state.
    void resume_items(std::optional<time_point> send_by);
    void commit_when_due();
    void commit();
    bool must_release_tokens(token_count waiting) const;
    duration age() const;
    duration due_in() const;
    void save_progress();
    /// \returns The newest configuration that any owner has known.
    configuration_version newest_configuration() const;
    /// Applies the job's record among those of a conflict.
    void
    apply_newer_state(const std::vector<key_value::stored_record>& current);
    void write_next_owner();
    void handle_handover_outcome(
        const jobs::job_commit& commit,
        const result<key_value::transaction_outcome>& outcome);
    void handle_commit_outcome(
        const jobs::job_commit& commit, token_count usage,
        const result<key_value::transaction_outcome>& outcome);
    void resolve_conflict(const jobs::job_commit& commit,
                          const key_value::transaction_outcome& outcome);
    void log_state(const char* event) const;

    const relay_context& context;
    slot_client& slots;
    usage_tracker& usages;
    const jobs::job_ages& ages;
    budgets::byte_budget& output_budget;
    budgets::variable_claim output_claim;
    jobs::owned_job owned;
    std::function<void()> lost_callback;
    progress_tracker progress;
    jobs::item_retries retries;
    /// The replicas of the last runs of items whose versions are not confirmed.
    std::map<std::size_t, routing::replica_entry> unconfirmed_sources;
    result_readers readers;
    std::map<std::size_t, std::unique_ptr<item_run>> runs;
    /// Items that hold or wait for a slot at the same time.
    std::size_t run_limit = max_runs;
    state_confirmation confirmation;
    /// When the store had exactly the outcomes that this node has.
    std::optional<time_point> outcomes_confirmed_at;
    std::list<unconfirmed_reader> unconfirmed_readers;
    /// Items with a slot that wait for the job's state.
    std::vector<std::size_t> unconfirmed_items;
    bool is_reading_state = false;
    running_wait state_wait;
    /// Runs while items wait for the job's state.
    net::timer state_timer;
    /// Time from submission until the job is due, from the newest route seen.
    duration run_target = duration::zero();
    /// Failures after which an item is given up, from the same route.
    int max_failures = 1;
    time_point waiting_logged_at;
    bool commit_is_scheduled = false;
    net::timer commit_timer;
    net::timer retry_timer;
    net::timer start_timer;
    bool stopped = false;
    /// A newer record that was read while a commit was in progress.
    std::optional<key_value::stored_record> deferred_record;
    /// The node to hand the job over to, in a planned stop.
    std::optional<node_info> next_owner;
    handed_over_callback handed_over;
    int handover_attempts = 0;
    /// Shared with callbacks of the store, which may outlive this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack::relay
