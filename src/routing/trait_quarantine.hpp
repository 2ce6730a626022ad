#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace parsleytrack::routing
{

/// Whether requests with a trait may be sent to replicas.
struct trait_verdict
{
    request_trait trait;
    bool blocked = true;
    /// Increases with each verdict on the trait; the highest one holds.
    int revision = 1;
    /// When one request may be tried, if the trait is blocked.
    time_point trial_at;
    /// Time between the verdict and the trial.
    duration hold = duration::zero();
};

/// The traits of requests that are blocked because replicas crash under them. A
/// block is tried again after a time that doubles with each failed trial. After
/// some of them it is kept for a day.
class trait_quarantine
{
public:
    /// Time until the first trial. A block has cost at least three replicas,
    /// and a failed trial costs another one.
    static constexpr duration first_hold = std::chrono::minutes(1);
    /// Trials of a block that may cost a replica. Together with a request that
    /// is under way when the trait is blocked, no more than three replicas.
    static constexpr int max_failed_trials = 2;
    static constexpr duration longest_hold = std::chrono::hours(24);
    /// Verdicts kept; the one whose trial is due first is dropped first.
    static constexpr std::size_t max_verdicts = 512;

    bool is_empty() const { return this->verdicts.empty(); }

    /// \returns The verdicts on those of the traits that are blocked.
    std::vector<trait_verdict>
    blocked_among(const std::vector<request_trait>& traits) const;

    /// Blocks a trait, or extends its block after a failed trial.
    ///
    /// \returns The new verdict.
    const trait_verdict& block(const request_trait& trait, time_point now);

    /// Ends the block of a trait that a replica has survived.
    ///
    /// \returns The new verdict; nullptr when the trait was not blocked.
    const trait_verdict* clear(const request_trait& trait);

    /// Takes over another node's verdict if it is newer.
    ///
    /// \returns Whether it is.
    bool merge(const trait_verdict& received);

    std::vector<trait_verdict> all() const;

private:
    void drop_excess(const request_trait& newest);

    std::map<request_trait, trait_verdict> verdicts;
};

} // namespace parsleytrack::routing
