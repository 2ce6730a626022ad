#include "decisions/member_table.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

int severity(node_state state)
{
    switch (state)
    {
    case node_state::alive:
    case node_state::leaving:
        return 0;
    case node_state::suspect:
        return 1;
    case node_state::dead:
        return 2;
    }
    return 0;
}

bool is_dead(const member_record& record)
{
    return record.node.state == node_state::dead;
}

} // namespace

bool member_table::merge(const member_record& claim, time_point now)
{
    const auto found = this->members.find(claim.node.id);
    if (found == this->members.end())
    {
        if (is_dead(claim))
        {
            return false;
        }
        this->members[claim.node.id] = member{claim, now};
        this->rebuild_indexes();
        return true;
    }
    member& known = found->second;
    const member_record before = known.record;
    if (!this->merge_into(known, claim, now))
    {
        return false;
    }
    check_invariant(known.record.node.incarnation >= before.node.incarnation,
                    "the incarnation of a node must not decrease");
    check_invariant(known.record.node.incarnation > before.node.incarnation ||
                        known.record.leaving || !before.leaving,
                    "a node must stay leaving within an incarnation");
    this->rebuild_indexes();
    return true;
}

bool member_table::merge_into(member& known, const member_record& claim,
                              time_point now)
{
    const node_info& node = known.record.node;
    if (claim.node.incarnation < node.incarnation)
    {
        return false;
    }
    if (claim.node.incarnation > node.incarnation)
    {
        known = member{claim, now};
        return true;
    }
    const bool worse = severity(claim.node.state) > severity(node.state);
    const bool leaves = claim.leaving && !known.record.leaving;
    if (worse)
    {
        known.record.node.state = claim.node.state;
        known.since = now;
    }
    known.record.leaving = known.record.leaving || claim.leaving;
    return worse || leaves;
}

void member_table::delay_suspicions(duration pause)
{
    for (const node_id& id : this->suspected)
    {
        this->members[id].since += pause;
    }
}

std::vector<node_id> member_table::suspected_for(duration span,
                                                 time_point now) const
{
    std::vector<node_id> expired;
    for (const node_id& id : this->suspected)
    {
        if (now - this->members.at(id).since >= span)
        {
            expired.push_back(id);
        }
    }
    return expired;
}

std::vector<node_id> member_table::evict_dead(duration span, time_point now)
{
    std::vector<node_id> evicted;
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        const bool expired =
            is_dead(entry->second.record) && now - entry->second.since >= span;
        if (expired)
        {
            evicted.push_back(entry->first);
        }
        entry = expired ? this->members.erase(entry) : std::next(entry);
    }
    return evicted;
}

const member_table::member* member_table::find(const node_id& id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

void member_table::rebuild_indexes()
{
    this->not_dead.clear();
    this->suspected.clear();
    for (const auto& [id, known] : this->members)
    {
        if (!is_dead(known.record))
        {
            this->not_dead.push_back(id);
        }
        if (known.record.node.state == node_state::suspect)
        {
            this->suspected.push_back(id);
        }
    }
}

} // namespace parsleytrack
