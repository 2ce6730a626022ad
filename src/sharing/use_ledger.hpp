#pragma once

#include "sharing/decaying_sum.hpp"
#include "sharing/workspace_use.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace parsleytrack::sharing
{

/// Records the slot time that each workspace uses. Requests without a
/// workspace count as those of one workspace with an empty name.
class use_ledger
{
public:
    /// \param initial_hold Assumed time for which a slot is held, before any
    /// has been measured.
    /// \param hold_weight Weight of a new measurement in the average.
    use_ledger(duration initial_hold, double hold_weight);

    /// Records that a slot is taken. A slot that another broker granted is
    /// recorded in the same way: as each held slot adds the same amount, the
    /// shares are right from the start.
    ///
    /// \param priority That of the workspace's requests; 0 is the most urgent.
    /// The last one counts.
    void take(const workspace_name& workspace, int priority, time_point now);

    /// Records that a slot is returned.
    void end(const workspace_name& workspace, duration held_for,
             time_point now);

    /// Records that a request is refused, whose caller is likely to return.
    void refuse(const workspace_name& workspace, time_point now);

    /// \returns The slot time, in seconds, that a workspace has held recently,
    /// plus the time for which its held slots are expected to be held.
    double use_of(const workspace_name& workspace, time_point now) const;

    /// Prepares claimed_before().
    void refresh_claims(time_point now);

    /// \returns The slots that workspaces with a more urgent priority, or with
    /// less use, are expected to hold and that are thus not left to a workspace
    /// with this priority and use. As of the last refresh_claims().
    double claimed_before(int priority, double use) const;

    /// \returns Whether workspaces with a more urgent priority use slots. As of
    /// the last refresh_claims().
    bool has_more_urgent(int priority) const;

    /// \returns About how many refused callers of a workspace have not
    /// returned yet.
    double returning(const workspace_name& workspace, time_point now) const;

    /// \returns The seconds for which a slot is held on average.
    double expected_hold() const { return this->mean_hold; }

    /// \returns Whether it knows of any workspace with a name.
    bool has_workspaces() const;

    /// \returns The workspaces with the largest use, in descending order; empty
    /// while none has a name.
    std::vector<workspace_use> largest(std::size_t count, time_point now) const;

    std::size_t size() const { return this->accounts.size(); }

private:
    struct account
    {
        int held = 0;
        int priority = 0;
        /// The slot time that was held recently, minus what the present number
        /// of held slots tends to. While that number stays, the difference
        /// decays.
        decaying_sum excess{use_memory};
        decaying_sum refused{return_time};

        double recent_time(time_point now) const;
        bool is_idle(time_point now) const;
    };

    /// Time in which use loses two thirds of its weight.
    static constexpr duration use_memory = std::chrono::seconds(2);
    /// Callers honour a Retry-After of up to a third of their remaining time,
    /// which is about a second for most.
    static constexpr duration return_time = std::chrono::seconds(1);
    static constexpr duration cleanup_interval = std::chrono::seconds(10);

    /// Sums over a workspace and all with less use.
    struct claim
    {
        double use = 0.0;
        double slots = 0.0;
        double slots_times_use = 0.0;
    };

    /// How often the claims are computed: they visit all workspaces.
    static constexpr duration claim_interval = std::chrono::milliseconds(50);

    static double claimed_before(const std::vector<claim>& ascending,
                                 double use);
    account& find_or_add(const workspace_name& workspace, time_point now);
    void forget_idle(time_point now);

    std::unordered_map<workspace_name, account> accounts;
    /// By priority, in ascending order of use.
    std::map<int, std::vector<claim>> claims;
    time_point next_claims = time_point::min();
    double mean_hold;
    double weight;
    time_point next_cleanup = time_point::min();
};

} // namespace parsleytrack::sharing
