// Which replica of a broker serves a request.

#include "slots/slot_broker.hpp"

#include <tuple>

namespace parsleytrack::slots
{

bool slot_broker::is_restricted(const slot_request& wanted,
                                time_point now) const
{
    return wanted.depends_on_version(now) || !wanted.excluded.empty() ||
           (wanted.version && !this->doubtful_replicas.empty());
}

slot_broker::replica_state*
slot_broker::choose(const slot_request& wanted,
                    const std::set<software_version>& avoided, time_point now)
{
    replica_state* best = nullptr;
    const bool ignores_exclusion = this->ignores_exclusion(wanted.kind, now);
    // Same zone first, then the most free slots. Only the response to a request
    // shows that a limit has ended.
    std::tuple<bool, bool, bool, bool, int> best_score{};
    for (auto& [id, state] : this->replicas)
    {
        const software_version& version = state.replica.version;
        const bool fits = !wanted.version || *wanted.version == version;
        if (wanted.excluded.contains(id) ||
            (wanted.version && this->doubtful_replicas.contains(id)) ||
            (!fits && wanted.depends_on_version(now)))
        {
            continue;
        }
        const int free =
            ignores_exclusion ? state.free_if_included(now) : state.free(now);
        const std::tuple<bool, bool, bool, bool, int> score{
            fits, !avoided.contains(version),
            state.pacer && now - state.pacer->last_taken() >=
                               this->options.limit_check_interval,
            state.replica.availability_zone == wanted.availability_zone, free};
        if (free > 0 && (best == nullptr || score > best_score))
        {
            best = &state;
            best_score = score;
        }
    }
    return best;
}

} // namespace parsleytrack::slots
