#pragma once

#include "budgets/byte_budget.hpp"

#include <cstddef>

namespace parsleytrack::budgets
{

/// A claim on a budget that changes its size. It ends with this object.
class variable_claim
{
public:
    /// \param claimed_budget Outlives this object.
    explicit variable_claim(byte_budget& claimed_budget)
        : budget(claimed_budget)
    {
    }
    ~variable_claim() { this->set(0); }
    variable_claim(const variable_claim&) = delete;
    variable_claim& operator=(const variable_claim&) = delete;

    /// Changes the size, whether there is room for it or not.
    void set(std::size_t new_bytes)
    {
        this->budget.replace(this->bytes, new_bytes);
        this->bytes = new_bytes;
    }

    /// \returns Whether all claims together are within the budget.
    bool has_room() const
    {
        return this->budget.used() <= this->budget.limit();
    }

private:
    byte_budget& budget;
    std::size_t bytes = 0;
};

} // namespace parsleytrack::budgets
