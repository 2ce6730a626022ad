#pragma once

#include "decisions/job_state.hpp"
#include "decisions/lot_action.hpp"
#include "decisions/lot_ledger.hpp"
#include "decisions/lot_swap_outcome.hpp"
#include "units/result.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace parsleytrack
{

/// One node's ownership of one lot, from taking it to the commit of its last
/// result. Whatever the owner believes, an item ends only by a write of the
/// record that compares the revision which this owner saw last; an owner that
/// was paused and replaced fails there and gives up.
///
/// Whoever drives it asks next_action() again after each event and each tick,
/// carries the action out, and passes the outcome to the matching function.
class lot_owner
{
public:
    /// \param own This node.
    /// \param claim A random number that no other owner of the lot draws.
    /// \param item_limits Bounds on attempts and commits.
    /// \param lot_items The items, in the order of the lot.
    /// \param is_usable Says of a node that it may still own lots.
    lot_owner(node_id own, std::uint64_t claim, const lot_limits& item_limits,
              std::vector<lot_item> lot_items,
              std::function<bool(const node_id&)> is_usable);

    /// \returns What is to be done now; nothing while an action is under way.
    std::optional<lot_action> next_action(time_point now);

    /// Outcomes of the actions.
    void on_record(time_point now,
                   const result<std::optional<seen_lot_record>>& answer);
    void on_job(time_point now, const result<job_state>& answer);
    void on_written(time_point now, const result<placement>& answer);
    void on_swap(time_point now, const result<lot_swap_outcome>& answer);

    /// To be called often; a long time between two calls shows that the
    /// process was paused, and then nothing is handed out before the job's
    /// record was read again.
    void tick(time_point now);

    /// Hands items out; see lot_ledger::pull().
    std::vector<item_assignment> pull(time_point now, const item_pull& wanted);

    /// Takes in the end of an attempt, if it was handed out in this epoch.
    void report(time_point now, epoch_number epoch,
                const attempt_report& ended);

    /// Takes back what runs at gates that are dead.
    void drop_gates(time_point now,
                    const std::function<bool(const node_id&)>& is_lost);

    /// Ends all items without a result, since the job was cancelled or its
    /// deadline has passed.
    ///
    /// \returns The gates where items are running, and the items.
    std::map<node_id, std::vector<int>> end_all(time_point now, job_state why);

    /// Hands the lot over once its results are committed.
    void release();

    /// \returns Items for gates to take back since end_all() was set off by
    /// the job's record.
    std::map<node_id, std::vector<int>> take_cancelled_items();

    /// \returns Whether this node owns the lot, as far as it knows.
    bool is_active() const { return this->phase == stage::active; }

    /// \returns Whether there is nothing more to do here: all items have ended,
    /// or another owns the lot, or it was handed over.
    bool is_over() const
    {
        return this->phase == stage::complete || this->phase == stage::lost ||
               this->phase == stage::released;
    }

    /// \returns Whether it is over since every item has ended.
    bool is_complete() const { return this->phase == stage::complete; }

    /// \returns The record that this owner saw or wrote last.
    const std::optional<seen_lot_record>& seen() const { return this->last; }

    /// \returns The items; null before the lot was taken.
    const lot_ledger* ledger() const
    {
        return this->items ? &*this->items : nullptr;
    }

    epoch_number epoch() const
    {
        return this->last ? this->last->record.epoch : epoch_number();
    }

    /// \returns Writes of the lot's record that were tried.
    int writes_tried() const { return this->writes; }

private:
    enum class stage : std::uint8_t
    {
        /// The record has to be read.
        reading,
        /// The record is to be written with this node as its owner.
        taking,
        active,
        complete,
        lost,
        released
    };

    std::optional<lot_action> next_commit(time_point now);
    void prepare_record(const std::optional<placement>& written);
    void become_active(time_point now, const seen_lot_record& taken);
    void finish_commit(const seen_lot_record& written);
    void settle(time_point now, const std::optional<seen_lot_record>& current);
    void back_off(time_point now);
    void handle_job_state(time_point now, job_state state);

    node_id own_id;
    std::uint64_t own_claim;
    lot_limits limits;
    std::vector<lot_item> item_list;
    std::function<bool(const node_id&)> usable;

    stage phase = stage::reading;
    bool action_under_way = false;
    bool job_confirmed = false;
    bool release_wanted = false;
    bool commit_started = false;
    time_point wait_until;
    time_point last_tick;
    time_point job_read_at;
    std::optional<seen_lot_record> last;
    std::optional<lot_ledger> items;
    std::vector<item_result> unwritten;
    std::vector<int> intents;
    /// The record that is being written, until its outcome is known.
    std::optional<lot_record> pending;
    bool outcome_unknown = false;
    std::map<node_id, std::vector<int>> cancelled_items;
    int failures = 0;
    int writes = 0;
};

} // namespace parsleytrack
