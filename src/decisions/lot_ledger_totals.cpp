// What a ledger's entries add up to: its bytes, and the sums that have to
// agree; how items run and end is in lot_ledger.cpp.

#include "decisions/lot_ledger.hpp"

#include "units/invariant.hpp"

namespace parsleytrack
{

std::size_t lot_ledger::memory_bytes() const
{
    std::size_t bytes = sizeof(*this);
    for (const entry& item : this->entries)
    {
        bytes += sizeof(entry) + item.generated.capacity() +
                 item.avoid.capacity() * sizeof(replica_id);
    }
    // A node of a tree holds three pointers and a colour beside its value.
    constexpr std::size_t tree_node_bytes = 32;
    for (const auto& [kind, indices] : this->waiting_items)
    {
        bytes += indices.size() * (tree_node_bytes + sizeof(int));
    }
    bytes += this->running_items.size() *
             (tree_node_bytes + sizeof(int) + sizeof(running_item));
    return bytes;
}

void lot_ledger::check() const
{
    std::size_t waiting = 0;
    for (const auto& [kind, indices] : this->waiting_items)
    {
        waiting += indices.size();
    }
    std::size_t intending = this->wanted_intents.size();
    if (this->committing)
    {
        for (const int index : this->committing->intents)
        {
            intending += this->entries[index].state == phase::intending ? 1 : 0;
        }
    }
    check_invariant(waiting + intending + this->running_items.size() +
                            static_cast<std::size_t>(this->ended_items) ==
                        this->entries.size(),
                    "every item of a lot waits, runs or has ended");
    check_invariant(this->committed_items <= this->ended_items,
                    "only items that have ended are committed");
}

} // namespace parsleytrack
