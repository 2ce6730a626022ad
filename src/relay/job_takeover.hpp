#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_ages.hpp"
#include "jobs/owned_job.hpp"
#include "relay/owner_notices.hpp"
#include "relay/relay_context.hpp"
#include "units/ids.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack::relay
{

/// Finds jobs whose owner is gone and takes over those for which this node is
/// the preferred owner. In a large group a few nodes scan the records of all
/// jobs and notify the nodes that must act, so that the store's load does not
/// grow with the group.
class job_takeover
{
public:
    struct callbacks
    {
        /// \returns Whether this node already runs the job.
        std::function<bool(const job_id&)> is_owned;
        /// \returns Whether there is room for another job, in addition to those
        /// that are being loaded.
        std::function<bool(std::size_t loading)> has_room;
        /// A job has been taken over.
        std::function<void(jobs::owned_job, jobs::job_progress)> on_taken_over;
        /// A finished job was found that this node may erase once it expires.
        std::function<void(const jobs::job_state&, store_revision)> on_finished;
        /// The record of a job that this node runs was read.
        std::function<void(const key_value::stored_record&)> on_own_record;
        /// Another node should look at the record of a job.
        std::function<void(const node_info&, const job_id&, store_revision)>
            on_notice_due;
    };

    /// \param node Outlives this object.
    /// \param ages Outlives this object.
    job_takeover(const relay_context& node, jobs::job_ages& ages,
                 callbacks hooks);

    /// Reads the record of a job that this node does not run, after a notice
    /// from another node, and takes the job over if necessary.
    ///
    /// \param revision Revision of the record that the other node has seen; 0
    /// if it is not known.
    void look_up(const job_id& job, store_revision revision);

    /// Scans the records soon, since there is room for jobs that had none.
    void scan_soon();

    /// Stops looking for jobs to take over.
    void stop();

private:
    void schedule(duration delay);
    void scan();
    /// \returns Whether this node may not know the live nodes yet.
    bool is_starting() const;
    duration next_scan_delay(bool orphans) const;
    /// \returns Whether a job without an owner was found that another node has
    /// to take over.
    bool handle_listing(const key_value::record_listing& listing);
    void examine(const key_value::stored_record& record);
    /// \returns Whether a job may be loaded now. If too many are being loaded,
    /// its record is examined again later.
    bool may_load(const key_value::stored_record& record);
    /// Notes that a job is no longer being loaded.
    void end_load(const job_id& job);
    /// Notifies the node that must act on a record, if it is another one.
    ///
    /// \returns Whether the job lacks an owner.
    bool notify(const key_value::stored_record& record);
    bool is_scanner() const;
    bool is_responsible_for_erasure(const job_id& job) const;
    bool should_claim(const jobs::job_state& state) const;
    void claim(jobs::job_state state, store_revision revision);
    void load(const jobs::job_state& state, store_revision revision);
    void load_progress(const std::shared_ptr<jobs::owned_job>& job);
    void abandon(const job_id& job, const char* step,
                 const std::string& reason);

    const relay_context& context;
    jobs::job_ages& ages;
    callbacks hooks;
    /// The nodes that scan all records; empty when every node does.
    std::vector<node_info> scanners;
    owner_notices notices;
    /// When this node looked up a job after a notice.
    std::map<job_id, time_point> looked_up_at;
    /// Jobs that are being taken over.
    std::set<job_id> claims_in_progress;
    /// Those among them that were found finished or cancelled meanwhile.
    std::set<job_id> finished_while_loading;
    /// Records to examine when fewer jobs are being loaded.
    std::map<std::string, key_value::stored_record> waiting_records;
    time_point started;
    bool scanning = false;
    bool stopped = false;
    std::optional<time_point> next_scan;
    net::timer scan_timer;
};

} // namespace parsleytrack::relay
