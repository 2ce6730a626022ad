#pragma once

#include "decisions/failed_attempt.hpp"
#include "units/random_source.hpp"

#include <map>
#include <optional>

namespace parsleytrack
{

/// Says whether a failed attempt is followed by another, and after what wait.
/// Retries are bounded by a budget for each service, a fraction of the first
/// tries, so that they cannot multiply an overload.
class retry_policy
{
public:
    /// \param budget_fraction Retries as a fraction of first tries.
    /// \param most_attempts Attempts at one request, the first included.
    retry_policy(double budget_fraction, int most_attempts);

    /// Counts the first try of a request.
    void first_try(const service_name& service);

    /// Decides after a failed attempt; a retry that is allowed is taken from
    /// the budget.
    ///
    /// \param failed The attempt.
    /// \param random Where jitter is drawn from.
    /// \returns The wait before the next attempt; nothing when there is none.
    std::optional<duration> retry_after(const failed_attempt& failed,
                                        random_source& random);

private:
    bool take_from_budget(const service_name& service);

    double fraction;
    int max_attempts;
    std::map<service_name, double> budgets;
};

} // namespace parsleytrack
