#include "relay/stop_schedule.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

stop_schedule::stop_schedule(time_point begin, duration address_validity,
                             duration limit)
    : accept_until(
          begin +
          std::max(duration::zero(),
                   std::min(address_validity * address_retention_factor,
                            limit - close_margin - completion_reserve))),
      end(begin + std::max(duration::zero(), limit - close_margin))
{
}

bool stop_schedule::is_over(time_point now, std::size_t open_requests) const
{
    return now >= this->end ||
           (now >= this->accept_until && open_requests == 0);
}

} // namespace parsleytrack::relay
