#pragma once

#include "units/time.hpp"

namespace parsleytrack::allotments
{

/// A token bucket. Its level falls below zero when it is charged for requests
/// that were sent without asking.
class token_bucket
{
public:
    /// \param initial_level The level at the given time.
    token_bucket(double initial_level, time_point now)
        : tokens(initial_level), filled_until(now)
    {
    }

    /// Adds what has refilled since the last call.
    ///
    /// \param rate Tokens per second in this time.
    /// \param capacity The upper limit of the level, in effect at once.
    void fill(double rate, double capacity, time_point now);

    /// \returns The whole tokens that can be taken.
    int available() const;

    /// \param count At most available().
    void take(int count);

    /// Adds tokens that were taken and not used.
    void put_back(int count, double capacity);

    /// Removes tokens, also when the bucket does not have them.
    void charge(double count) { this->tokens -= count; }

    /// Limits the debt to the given number of tokens.
    void limit_debt(double most);

    /// \param rate Tokens per second; above zero.
    /// \returns The time until the level is reached, at most an hour.
    duration time_until(double level, double rate) const;

    double level() const { return this->tokens; }

    /// \returns The time of the last call of fill().
    time_point time() const { return this->filled_until; }

private:
    double tokens;
    time_point filled_until;
};

} // namespace parsleytrack::allotments
