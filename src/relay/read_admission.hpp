#pragma once

#include "budgets/byte_budget.hpp"
#include "net/event_loop.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace parsleytrack::relay
{

/// Admits reads of job records as far as what they hold fits into a budget.
/// Others wait in the order of arrival; those whose turn would come too late
/// are refused.
class read_admission
{
public:
    using claim = budgets::byte_budget::claim;

    struct callbacks
    {
        /// The read may begin; it is under way until the claim ends.
        std::function<void(claim room)> on_admitted;
        std::function<void(duration retry_after)> on_refused;
    };

    /// \param event_loop Outlives this object.
    /// \param memory Memory limit of the instance.
    read_admission(net::event_loop& event_loop, byte_count memory);

    /// Requests admission.
    ///
    /// \param bytes Most that the read holds at a time.
    /// \param listener One of its functions is called, during this call or
    /// later.
    void request(std::size_t bytes, callbacks listener);

    /// \returns Room for something that is there already; empty if there is
    /// none.
    claim take(std::size_t bytes) { return this->budget.take(bytes); }

    byte_count limit() const { return this->budget.limit(); }
    byte_count used() const { return this->budget.used(); }

    /// When to come back after a refusal for want of room.
    static constexpr duration min_retry_after = std::chrono::milliseconds(500);

private:
    struct waiting_read
    {
        std::size_t bytes = 0;
        time_point since;
        callbacks listener;
    };

    void admit_waiting();
    void refuse_late();
    claim begin(std::size_t bytes);
    /// \returns How long a read that comes now is expected to wait.
    duration expected_wait(std::size_t bytes) const;

    net::event_loop& loop;
    budgets::byte_budget budget;
    std::deque<waiting_read> waiting;
    /// How long admitted reads hold their room on average; shared with their
    /// claims, which may outlive this object.
    std::shared_ptr<duration> mean_hold;
    /// Runs while reads wait.
    net::timer check_timer;
    net::timer admit_timer;
};

} // namespace parsleytrack::relay
