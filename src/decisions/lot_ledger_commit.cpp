// What a ledger gives to a commit of its lot's record and what it keeps of one;
// how items run and end is in lot_ledger.cpp.

#include "decisions/lot_ledger.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

bool lot_ledger::commit_due(time_point now, std::size_t commits) const
{
    if (this->committing)
    {
        return false;
    }
    if (!this->wanted_intents.empty())
    {
        return true;
    }
    if (this->results.empty())
    {
        return false;
    }
    if (this->ended_items == this->item_count() ||
        this->result_bytes >= this->limits.commit_size.count())
    {
        return true;
    }
    const auto doublings = std::min<std::size_t>(
        commits / static_cast<std::size_t>(this->limits.commits_per_doubling),
        10);
    return now - *this->oldest_result >=
           this->limits.commit_interval * (std::int64_t{1} << doublings);
}

lot_commit lot_ledger::begin_commit()
{
    check_invariant(!this->committing, "one commit of a lot at a time");
    lot_commit next;
    next.results = std::move(this->results);
    next.intents.assign(this->wanted_intents.begin(),
                        this->wanted_intents.end());
    this->results.clear();
    this->wanted_intents.clear();
    this->oldest_result.reset();
    this->committing = next;
    return next;
}

void lot_ledger::commit_applied()
{
    check_invariant(this->committing.has_value(),
                    "only a commit that was begun can be applied");
    for (const item_result& result : this->committing->results)
    {
        entry& item = this->entries[result.index];
        check_invariant(item.state == phase::ended,
                        "an item's result is committed once");
        item.state = phase::committed;
        ++this->committed_items;
        this->result_bytes -= static_cast<std::int64_t>(result.body.size());
    }
    for (const int index : this->committing->intents)
    {
        entry& item = this->entries[index];
        // It may have been cancelled in the meantime.
        if (item.state == phase::intending)
        {
            item.intent_committed = true;
            this->wait_again(index);
        }
    }
    this->committing.reset();
    this->check();
}

std::vector<int> lot_ledger::unstarted_intents() const
{
    std::vector<int> unstarted;
    for (int index = 0; index < this->item_count(); ++index)
    {
        const entry& item = this->entries[index];
        const bool idle =
            item.state == phase::waiting || item.state == phase::intending;
        if (idle && !item.idempotent)
        {
            unstarted.push_back(index);
        }
    }
    return unstarted;
}

} // namespace parsleytrack
