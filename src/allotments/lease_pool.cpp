#include "allotments/lease_pool.hpp"

#include <algorithm>
#include <cmath>

namespace parsleytrack::allotments
{

namespace
{

/// Demand changes fivefold within seconds, so that older requests tell little.
constexpr double averaging_time_s = 0.5;

} // namespace

double lease_pool::decayed_demand(time_point now) const
{
    const std::chrono::duration<double> age = now - this->demand_time;
    return this->demand * std::exp(-age.count() / averaging_time_s);
}

void lease_pool::record_demand(time_point now)
{
    this->demand = this->decayed_demand(now) + 1.0 / averaging_time_s;
    this->demand_time = now;
}

double lease_pool::expected(duration span, time_point now) const
{
    return this->decayed_demand(now) *
           std::chrono::duration<double>(span).count();
}

void lease_pool::add(bucket_term term, int count, time_point expires)
{
    this->latest_term = term;
    if (count > 0)
    {
        this->leases.push_back(lease{term, count, expires});
    }
}

std::optional<leased_request> lease_pool::take(time_point now)
{
    for (lease& known : this->leases)
    {
        if (known.count > 0 && known.expires > now)
        {
            --known.count;
            return leased_request{known.term, known.expires};
        }
    }
    return std::nullopt;
}

void lease_pool::put_back(const leased_request& request)
{
    for (lease& known : this->leases)
    {
        if (known.term == request.term && known.expires == request.expires)
        {
            ++known.count;
            return;
        }
    }
    this->leases.push_front(lease{request.term, 1, request.expires});
}

int lease_pool::available(time_point beyond) const
{
    int count = 0;
    for (const lease& known : this->leases)
    {
        count += known.expires > beyond ? known.count : 0;
    }
    return count;
}

int lease_pool::expired(time_point now) const
{
    int count = 0;
    for (const lease& known : this->leases)
    {
        count += known.expires <= now ? known.count : 0;
    }
    return count;
}

int lease_pool::take_expired(time_point now)
{
    int count = 0;
    for (const lease& known : this->leases)
    {
        const bool is_returned =
            known.expires <= now && known.term == this->latest_term;
        count += is_returned ? known.count : 0;
    }
    std::erase_if(this->leases, [now](const lease& known)
                  { return known.expires <= now || known.count == 0; });
    return count;
}

} // namespace parsleytrack::allotments
