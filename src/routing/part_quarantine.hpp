#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace parsleytrack::routing
{

/// Whether requests with a part of a prompt may be sent to replicas.
struct part_verdict
{
    prompt_part_id part;
    bool blocked = true;
    /// Increases with each verdict on the part; the highest one holds.
    int revision = 1;
    /// When one request may be tried, if the part is blocked.
    time_point trial_at;
    /// Time between the verdict and the trial.
    duration hold = duration::zero();
};

/// The parts of prompts that are blocked because replicas crash under them. A
/// block is tried again after a time that doubles with each failed trial.
class part_quarantine
{
public:
    /// Time until the first trial. A block has cost at least three replicas,
    /// and a failed trial costs another one.
    static constexpr duration first_hold = std::chrono::minutes(1);
    static constexpr duration longest_hold = std::chrono::minutes(32);
    /// Verdicts kept; the one whose trial is due first is dropped first.
    static constexpr std::size_t max_verdicts = 512;

    bool is_empty() const { return this->verdicts.empty(); }

    /// \returns The verdicts on those of the parts that are blocked.
    std::vector<part_verdict>
    blocked_among(const std::vector<prompt_part_id>& parts) const;

    /// Blocks a part, or extends its block after a failed trial.
    ///
    /// \returns The new verdict.
    const part_verdict& block(const prompt_part_id& part, time_point now);

    /// Ends the block of a part that a replica has survived.
    ///
    /// \returns The new verdict; nullptr when the part was not blocked.
    const part_verdict* clear(const prompt_part_id& part);

    /// Takes over another node's verdict if it is newer.
    ///
    /// \returns Whether it is.
    bool merge(const part_verdict& received);

    std::vector<part_verdict> all() const;

private:
    void drop_excess(const prompt_part_id& newest);

    std::map<prompt_part_id, part_verdict> verdicts;
};

} // namespace parsleytrack::routing
