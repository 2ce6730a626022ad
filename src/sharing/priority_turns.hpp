#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace parsleytrack::sharing
{

/// Decides when a priority is served although more urgent requests wait, so
/// that it does not starve: if none of the last 15 grants was its own.
class priority_turns
{
public:
    /// Each priority gets one grant in this many.
    static constexpr std::uint64_t interval = 16;
    /// All turns together get at most one grant in this many, however many
    /// priorities there are.
    static constexpr std::uint64_t spacing = 4;

    /// Records a grant.
    ///
    /// \param by_turn Whether more urgent requests waited.
    void record(int priority, bool by_turn);

    /// \returns Whether the next grant may be a turn.
    bool allows_turn() const
    {
        return this->grants + 1 - this->last_turn >= spacing;
    }

    /// \returns Whether the next grant is due to a priority, if any of its
    /// requests wait.
    bool is_due(int priority) const
    {
        return this->grants + 1 - this->last_grant(priority) >= interval;
    }

    /// \returns How many grants to others precede the next turn of a priority.
    std::uint64_t grants_before_turn(int priority) const;

    /// \returns The number of the last grant to a priority; 0 if it has had
    /// none or that is no longer known.
    std::uint64_t last_grant(int priority) const;

private:
    void forget_overdue();

    std::uint64_t grants = 0;
    std::uint64_t last_turn = 0;
    /// Priorities and the numbers of their last grants. There are few.
    std::vector<std::pair<int, std::uint64_t>> last_grants;
};

} // namespace parsleytrack::sharing
