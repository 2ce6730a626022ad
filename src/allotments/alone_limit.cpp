#include "allotments/alone_limit.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace parsleytrack::allotments
{

namespace
{

/// The loss of an owner is noticed within this time.
constexpr duration max_time = std::chrono::seconds(2);
/// The part of the rate that nodes without the owner use. In a cut the owner
/// goes on, and the next one starts before all have noticed; with the whole
/// rate, cuts that follow each other exceed the bound.
constexpr double rate_part = 0.75;

} // namespace

void alone_limit::start(const node_id& owner, process_number process,
                        time_point since, random_source& random)
{
    const bool is_same_owner =
        owner == this->owner_id && process == this->owner_process;
    if (is_same_owner && since == this->start_time)
    {
        return;
    }
    if (!is_same_owner)
    {
        this->unreported_count = 0;
    }
    this->owner_id = owner;
    this->owner_process = process;
    this->start_time = since;
    this->offset = std::uniform_real_distribution<double>(0.0, 1.0)(random);
    this->sent = 0;
}

bool alone_limit::take(double rate, std::size_t nodes, time_point now)
{
    const std::chrono::duration<double> span =
        std::min(now - this->start_time, max_time);
    const double allowed =
        rate_part * rate / static_cast<double>(nodes) * span.count() +
        this->offset;
    if (now - this->start_time >= max_time || this->sent + 1.0 > allowed)
    {
        return false;
    }
    ++this->sent;
    ++this->unreported_count;
    return true;
}

void alone_limit::report(const node_id& owner, process_number process,
                         int count)
{
    if (owner == this->owner_id && process == this->owner_process)
    {
        this->unreported_count = std::max(0, this->unreported_count - count);
    }
}

int alone_limit::unreported(const node_id& owner, process_number process) const
{
    return owner == this->owner_id && process == this->owner_process
               ? this->unreported_count
               : 0;
}

} // namespace parsleytrack::allotments
