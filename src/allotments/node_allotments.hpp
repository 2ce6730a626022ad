#pragma once

#include "allotments/allotment_command.hpp"
#include "allotments/allotment_numbers.hpp"
#include "allotments/alone_limit.hpp"
#include "allotments/group_share.hpp"
#include "allotments/lease_book.hpp"
#include "allotments/lease_pool.hpp"
#include "allotments/owner_outages.hpp"
#include "allotments/workspace_owners.hpp"
#include "units/random_source.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace parsleytrack::allotments
{

/// What one node decides about the quotas of workspaces, as one that sends
/// requests and as an owner. After each call the caller executes the commands
/// that take_commands() returns.
class node_allotments
{
public:
    /// Counts for metrics.
    struct counts
    {
        std::uint64_t leased = 0;
        std::uint64_t over_limit = 0;
        std::uint64_t unknown = 0;
        std::uint64_t leases = 0;
    };

    /// \param own The id of this node.
    /// \param random_numbers Outlives this object.
    node_allotments(const node_id& own,
                    const settings::allotment_settings& settings,
                    random_source& random_numbers, time_point now);

    /// \param live The live nodes, this one included unless it is leaving.
    /// \param lost Nodes that may be running although they are not seen.
    /// \returns Whether the owner of a workspace may have changed.
    bool update_view(const std::vector<node_info>& live, std::size_t lost,
                     time_point now);

    /// Claims one request of a limited workspace.
    void claim(claim_number number, const workspace_name& workspace,
               const workspaces::allotment& limit,
               configuration_version version, time_point now);

    /// Ends a claim; does nothing for one that has ended.
    ///
    /// \param used Whether its request counts as sent.
    void end(claim_number number, bool used, time_point now);

    /// Handles an owner's reply to a call.
    void handle_reply(lease_call_number call, const lease_reply& reply,
                      time_point now);

    /// Handles a call without a reply in time.
    void handle_failure(lease_call_number call, time_point now);

    /// Handles an owner's response that it does not know of allotments. It is
    /// not asked again, since it runs an earlier build.
    void handle_unsupported(lease_call_number call, time_point now);

    /// Handles another node's order.
    lease_reply handle_order(const lease_order& order, time_point now);

    /// Runs the periodic work; to be called about every 100 ms.
    void tick(time_point now);

    /// \returns The pending commands, in the order of execution; clears them.
    std::vector<allotment_command> take_commands();

    const counts& totals() const { return this->counters; }

    /// How long to wait for an owner's reply.
    static constexpr duration reply_timeout = std::chrono::milliseconds(80);

private:
    /// What this node knows of one workspace.
    struct account
    {
        workspace_name name;
        workspaces::allotment limit;
        configuration_version version;
        lease_pool leases;
        alone_limit alone;
        std::deque<claim_number> waiting;
        std::optional<lease_call_number> call;
        /// Until then claims are refused without asking the owner.
        time_point empty_until;
        /// When a request may be granted again, according to the owner.
        time_point refilled_at;
        time_point used;
    };

    struct open_call
    {
        workspace_name workspace;
        node_info owner;
        lease_order order;
        time_point sent;
    };

    struct open_claim
    {
        workspace_name workspace;
        /// Set once it is granted by a lease.
        std::optional<leased_request> lease;
        bool waits = false;
    };

    /// Detects a pause of this process.
    void note_time(time_point now);
    account& account_of(const workspace_name& workspace,
                        const workspaces::allotment& limit,
                        configuration_version version, time_point now);
    const workspace_owner* owner_of(const account& known)
    {
        return this->owners.owner_of(known.name);
    }
    /// \returns The owner, if it is another node.
    const workspace_owner* other_owner(const account& known);
    /// \returns An order that returns what has expired.
    lease_order make_order(account& known, int needed, int wanted,
                           time_point now) const;
    bool is_settled(time_point now) const;
    void claim_from_own(account& known, claim_number number, time_point now);
    void grant(account& known, claim_number number,
               const std::optional<leased_request>& lease);
    void refuse(claim_number number, bool over_limit, duration retry_after);
    void refuse_over_limit(account& known, claim_number number, time_point now);
    void claim_alone(account& known, claim_number number, time_point now);
    /// \returns How long claims are refused without asking an owner whose
    /// bucket is empty.
    duration empty_time(const account& known, const lease_reply& reply) const;
    void serve_waiting(account& known, time_point now);
    void renew(account& known, time_point now);
    void call_owner(account& known, int needed, int wanted, time_point now);
    /// Asks the owner that this node believes in whether it knows of
    /// allotments, unless that is known.
    void check_support(const lease_order& order, const node_info& owner,
                       time_point now);
    void return_expired(account& known, time_point now);
    /// Decides on the waiting claims without the owner.
    void handle_outage(account& known, const node_info& owner, time_point now);
    account* end_call(lease_call_number call, open_call& ended);

    node_id own_id;
    allotment_numbers numbers;
    random_source& random;
    time_point started;
    time_point last_time;
    time_point next_cleanup;
    std::size_t live_count = 1;
    std::size_t lost_count = 0;
    workspace_owners owners;
    group_share share;
    lease_book book;
    owner_outages outages;
    std::unordered_map<workspace_name, account> accounts;
    std::map<claim_number, open_claim> claims;
    std::map<lease_call_number, open_call> calls;
    std::int64_t next_call = 1;
    std::vector<allotment_command> commands;
    counts counters;
};

} // namespace parsleytrack::allotments
