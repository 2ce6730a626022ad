#pragma once

#include "daemon/job_store.hpp"
#include "decisions/owner_liveness.hpp"
#include "net/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Looks after the open jobs of the parts that fall to this node: sees to it
/// that each lot has an owner, and closes jobs whose lots have all ended.
/// Keeps nothing that lasts; another node can take a part over at any time.
class job_coordinator
{
public:
    /// Tells a node that it should own lots of a job.
    using assign_callback =
        std::function<void(const node_id&, const job_id&, const job_record&,
                           const std::vector<int>&)>;

    /// \param node What the modules share.
    /// \param jobs Keeps the records.
    /// \param owners Says which owners may be at work.
    /// \param assign Tells a node of its lots.
    job_coordinator(node_context& node, job_store& jobs, owner_liveness& owners,
                    assign_callback assign);

    /// A job may need attention: it is new, or one of its lots is without an
    /// owner.
    void look_at(const job_id& job);

    /// All items of a lot have ended.
    void lot_ended(const job_id& job, int lot);

private:
    struct open_job
    {
        time_point next_check;
        bool checking = false;
        std::size_t lots = 0;
        std::set<int> ended;
    };

    struct shard_state
    {
        bool own = false;
        bool scanning = false;
        time_point next_scan;
    };

    void tick();
    void scan(int shard, const std::string& after);
    void check(const job_id& job);
    void check_lots(const job_id& job, const seen_job_record& seen);
    void handle_progress(const job_id& job, const seen_job_record& seen,
                         const result<job_progress>& progress);
    void close(const job_id& job, const seen_job_record& seen);
    void erase_open_entry(const job_id& job, bool only_if_old);
    void check_again(const job_id& job, duration wait);

    node_context& context;
    job_store& records;
    owner_liveness& liveness;
    assign_callback assign_lots_to;
    std::map<int, shard_state> shards;
    std::map<job_id, open_job> jobs;
    net::timer timer;
};

} // namespace parsleytrack
