#pragma once

#include "units/numbers.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace parsleytrack::budgets
{

/// Bounds the bytes that work in progress holds at the same time.
class byte_budget
{
public:
    /// Holds bytes until it is destroyed, which may be after the budget.
    using claim = std::shared_ptr<const void>;

    /// \param max_bytes Maximum sum of the claims; a single claim is always
    /// granted.
    explicit byte_budget(byte_count max_bytes);
    ~byte_budget();
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    /// \returns The claim; empty if there is no room for it.
    claim take(std::size_t bytes);

    /// Replaces a part of the sum, whatever its size.
    ///
    /// \param released Bytes that are no longer held.
    /// \param added Bytes that are held in their place.
    void replace(std::size_t released, std::size_t added);

    /// \returns Whether more than half of the bytes are held.
    bool is_half_used() const
    {
        return this->shared->sum > this->max.count() / 2;
    }

    /// \param callback Called after each end of a claim; must not take one.
    void on_release(std::function<void()> callback);

    byte_count limit() const { return this->max; }
    byte_count used() const { return byte_count(this->shared->sum); }

private:
    struct state
    {
        std::int64_t sum = 0;
        std::function<void()> released;
    };

    byte_count max;
    std::shared_ptr<state> shared = std::make_shared<state>();
};

} // namespace parsleytrack::budgets
