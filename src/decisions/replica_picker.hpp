#pragma once

#include "decisions/picker_options.hpp"
#include "decisions/prefix_record.hpp"
#include "decisions/replica_summary.hpp"
#include "units/ids.hpp"
#include "units/random_source.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleytrack
{

/// Chooses the replica for an online request: of a few candidates the one with
/// the least expected time to the first output, what its prefix cache saves
/// included. Candidates are drawn at random, so that nodes with the same old
/// summaries do not all choose the same replica, and from rendezvous hashing
/// over the prompt's start, so that all nodes send a prefix to the same few.
class replica_picker
{
public:
    explicit replica_picker(const picker_options& picker_options);

    /// Takes in a gate's summary of its replica.
    void update(const replica_id& replica, const replica_summary& summary);

    /// Forgets what is known of a replica that is gone.
    void forget(const replica_id& replica);

    /// Chooses a replica.
    ///
    /// \param candidates The live replicas of the service.
    /// \param hashes The prompt's blocks; empty where there is no prompt.
    /// \param avoid Replicas of earlier attempts; used only if all are.
    /// \param now The time.
    /// \param random Where choices are drawn from.
    /// \returns The replica; nothing when there is no candidate at all.
    std::optional<replica_id> pick(const std::vector<replica_id>& candidates,
                                   const std::vector<std::uint64_t>& hashes,
                                   const std::set<replica_id>& avoid,
                                   time_point now, random_source& random);

    /// A request was passed to a replica's gate.
    void sent(const replica_id& replica,
              const std::vector<std::uint64_t>& hashes);

    /// A request has ended.
    void ended(const replica_id& replica);

    /// A gate has passed a request back, since its replica is full.
    void passed_back(const replica_id& replica);

    /// \returns Whether any candidate but those to avoid is believed to have a
    /// slot free.
    bool has_free_slot(const std::vector<replica_id>& candidates,
                       const std::set<replica_id>& avoid) const;

    /// A request has failed in a way that speaks against the replica.
    void failed(const replica_id& replica, time_point now);

    /// \returns The shortest expected time to the first output of any
    /// candidate.
    duration least_expected(const std::vector<replica_id>& candidates) const;

private:
    struct entry
    {
        explicit entry(std::size_t blocks) : prefixes(blocks) {}

        replica_summary summary;
        bool known = false;
        /// This node's requests under way, now and when the summary came.
        int own = 0;
        int own_at_summary = 0;
        prefix_record prefixes;
        time_point avoid_until = time_point::min();
        time_point next_trial = time_point::min();
    };

    entry& find(const replica_id& replica);
    std::vector<replica_id> eligible(const std::vector<replica_id>& candidates,
                                     const std::set<replica_id>& avoid,
                                     time_point now);
    duration typical_latency(const std::vector<replica_id>& candidates) const;
    bool is_slow(const entry& known, duration typical) const;
    std::vector<replica_id> draw(const std::vector<replica_id>& from,
                                 const std::vector<std::uint64_t>& hashes,
                                 random_source& random) const;
    static int present(const entry& known);
    duration cost(const entry& known,
                  const std::vector<std::uint64_t>& hashes) const;

    picker_options options;
    std::map<replica_id, entry> entries;
};

} // namespace parsleytrack
