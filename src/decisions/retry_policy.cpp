#include "decisions/retry_policy.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

/// What a service may save up, and has at first.
constexpr double most_saved = 10.0;
constexpr double saved_at_first = 1.0;
constexpr duration first_backoff = std::chrono::milliseconds(10);
constexpr duration longest_backoff = std::chrono::seconds(1);

bool may_help(error_code reason)
{
    switch (reason)
    {
    case error_code::bad_request:
    case error_code::too_large:
    case error_code::not_found:
    case error_code::conflict:
    case error_code::workspace_limit:
    case error_code::cancelled:
    case error_code::may_have_run:
        return false;
    default:
        return true;
    }
}

} // namespace

retry_policy::retry_policy(double budget_fraction, int most_attempts)
    : fraction(budget_fraction), max_attempts(most_attempts)
{
}

void retry_policy::first_try(const service_name& service)
{
    double& budget =
        this->budgets.try_emplace(service, saved_at_first).first->second;
    budget = std::min(most_saved, budget + this->fraction);
}

std::optional<duration> retry_policy::retry_after(const failed_attempt& failed,
                                                  random_source& random)
{
    if (failed.reason == error_code::passed_back &&
        failed.time_left > duration::zero())
    {
        // Costs no backend server anything, and the request is still waiting.
        return duration::zero();
    }
    const bool may_repeat = failed.idempotent || failed.ran == ran_state::no;
    if (!may_repeat || !may_help(failed.reason) ||
        failed.attempt.count() >= this->max_attempts)
    {
        return std::nullopt;
    }
    const auto doublings = static_cast<int>(failed.attempt.count() - 1);
    const duration limit =
        std::min(longest_backoff, first_backoff * (1 << doublings));
    std::uniform_int_distribution<duration::rep> jitter(0, limit.count());
    const duration wait(jitter(random));
    if (wait >= failed.time_left)
    {
        return std::nullopt;
    }
    // A gate that has passed a request back unrun costs no backend server
    // anything.
    const bool is_passed_back =
        failed.reason == error_code::no_replica && failed.ran == ran_state::no;
    if (!is_passed_back && !this->take_from_budget(failed.service))
    {
        return std::nullopt;
    }
    return wait;
}

bool retry_policy::take_from_budget(const service_name& service)
{
    double& budget =
        this->budgets.try_emplace(service, saved_at_first).first->second;
    if (budget < 1.0)
    {
        return false;
    }
    budget -= 1.0;
    return true;
}

} // namespace parsleytrack
