#pragma once

#include "decisions/attempt_report.hpp"
#include "decisions/item_assignment.hpp"
#include "decisions/item_pull.hpp"
#include "decisions/item_result.hpp"
#include "decisions/lot_commit.hpp"
#include "decisions/lot_item.hpp"
#include "decisions/lot_limits.hpp"
#include "decisions/lot_record.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack
{

/// The items of one lot in the hands of its owner: which wait, which run where,
/// and which results are to be committed. Each item gets one result.
class lot_ledger
{
public:
    /// Service and model.
    using group = std::pair<service_name, std::string>;

    /// \param item_limits Bounds on attempts and commits.
    /// \param lot_items The items, in the order of the lot.
    /// \param taken The record as it was when the lot was taken over. An item
    /// with an intent and no result ends as item_status::may_have_run.
    /// \param now The time.
    lot_ledger(const lot_limits& item_limits,
               const std::vector<lot_item>& lot_items, const lot_record& taken,
               time_point now);

    /// Hands items out. Items that must not run twice are handed out only
    /// after their intent was committed; asking sets that off.
    std::vector<item_assignment> pull(time_point now, const item_pull& wanted);

    /// Takes in the end of an attempt. Repeated reports change nothing.
    void report(time_point now, const attempt_report& ended);

    /// Takes back what runs at gates that are dead.
    ///
    /// \param is_lost Says it of a node.
    void drop_gates(time_point now,
                    const std::function<bool(const node_id&)>& is_lost);

    /// Takes back items whose report does not come.
    void expire(time_point now);

    /// Ends all items that have not ended.
    ///
    /// \param status item_status::cancelled or item_status::failed. Items that
    /// may be running and must not run twice get item_status::may_have_run.
    /// \param reason Why.
    /// \param message The same for people.
    /// \returns The gates where items are running, and the items.
    std::map<node_id, std::vector<int>> end_all(time_point now,
                                                item_status status,
                                                error_code reason,
                                                const std::string& message);

    /// \param commits Commits of results made so far.
    /// \returns Whether something should be committed now.
    bool commit_due(time_point now, std::size_t commits) const;

    /// Takes what is to be committed; ends with commit_applied().
    lot_commit begin_commit();

    /// The commit that was begun has been agreed.
    void commit_applied();

    /// \returns Items that must not run twice, whose intent was or is being
    /// committed, and which no gate has or has begun.
    std::vector<int> unstarted_intents() const;

    /// \returns Whether every item's result has been committed.
    bool complete() const
    {
        return this->committed_items == this->item_count();
    }

    /// \returns Waiting items by service and model.
    const std::map<group, std::set<int>>& waiting() const
    {
        return this->waiting_items;
    }

    /// \returns Items handed out and not reported.
    std::size_t running_count() const { return this->running_items.size(); }

    /// \returns Bytes held, without the items' bodies.
    std::size_t memory_bytes() const;

private:
    enum class phase : std::uint8_t
    {
        waiting,
        /// The intent is being committed.
        intending,
        running,
        ended,
        committed
    };

    struct entry
    {
        const group* kind = nullptr;
        phase state = phase::waiting;
        bool idempotent = true;
        bool intent_committed = false;
        std::uint8_t failures = 0;
        std::uint8_t deaths = 0;
        std::int32_t attempt = 0;
        time_point ready_at;
        std::vector<replica_id> avoid;
        std::string generated;
    };

    struct running_item
    {
        node_id gate;
        time_point since;
    };

    int item_count() const { return static_cast<int>(this->entries.size()); }
    bool may_hand_out(time_point now, entry& item, const item_pull& wanted);
    item_assignment start(time_point now, int index, const node_id& gate);
    void take_back(time_point now, int index, bool counts_as_failure,
                   const std::string& message);
    void count_failure(time_point now, int index, const attempt_report& ended);
    void wait_again(int index);
    void end(time_point now, item_result result);
    void check() const;

    lot_limits limits;
    std::vector<entry> entries;
    std::map<group, std::set<int>> waiting_items;
    std::map<int, running_item> running_items;
    std::set<int> wanted_intents;
    std::vector<item_result> results;
    std::int64_t result_bytes = 0;
    std::optional<time_point> oldest_result;
    std::optional<lot_commit> committing;
    int ended_items = 0;
    int committed_items = 0;
};

} // namespace parsleytrack
