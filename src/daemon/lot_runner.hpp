#pragma once

#include "daemon/call_set.hpp"
#include "daemon/job_store.hpp"
#include "decisions/lot_owner.hpp"
#include "wire/generated/batch_types.h"
#include "wire/generated/job_types.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace parsleytrack
{

/// Carries out what the owner of one lot decides.
class lot_runner : public std::enable_shared_from_this<lot_runner>
{
public:
    /// \param node What the modules share.
    /// \param segments Keeps the results.
    /// \param jobs Keeps the records.
    /// \param calls Calls to gates.
    /// \param own_job The job.
    /// \param lot The lot's position in the job.
    /// \param record The job's record.
    /// \param input The lot's items.
    /// \param is_usable Says of a node that it may still own lots.
    lot_runner(node_context& node, storage_module& segments, job_store& jobs,
               call_set& calls, job_id own_job, int lot, job_record record,
               std::vector<wire::stored_item> input,
               std::function<bool(const node_id&)> is_usable);

    /// Does what is due; to be called often.
    void step(time_point now);

    /// Hands items out to a gate.
    std::vector<wire::batch_item> pull(time_point now, const item_pull& wanted);

    /// Takes in a gate's report.
    void report(time_point now, const wire::item_report& ended);

    /// Ends all items without a result and takes them back from the gates.
    void end_all(time_point now, job_state why);

    /// Takes back what runs at gates that are dead.
    void drop_gates(time_point now,
                    const std::function<bool(const node_id&)>& is_lost)
    {
        this->owner.drop_gates(now, is_lost);
    }

    /// Hands the lot over.
    void release() { this->owner.release(); }

    const lot_owner& ownership() const { return this->owner; }
    const job_id& job() const { return this->job_name; }
    int lot() const { return this->lot_number; }
    std::int64_t deadline_ms() const { return this->record.deadline_ms; }

private:
    void carry_out(const read_lot_record& action);
    void carry_out(const read_job_record& action);
    void carry_out(const write_result_segment& action);
    void carry_out(const swap_lot_record& action);
    void cancel_at_gates(const std::map<node_id, std::vector<int>>& items);
    wire::batch_item make_item(const item_assignment& assignment) const;

    node_context& context;
    storage_module& storage;
    job_store& records;
    call_set& gates;
    job_id job_name;
    int lot_number;
    job_record record;
    std::vector<wire::stored_item> items;
    lot_owner owner;
    bool expired = false;
};

} // namespace parsleytrack
