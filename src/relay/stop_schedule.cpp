#include "relay/stop_schedule.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

stop_schedule::stop_schedule(time_point begin, duration address_validity,
                             duration limit)
    : last_request(begin +
                   std::max(duration::zero(),
                            std::min(address_validity * kept_answer_factor,
                                     limit - margin - reserve))),
      end(begin + std::max(duration::zero(), limit - margin))
{
}

bool stop_schedule::is_over(time_point now, std::size_t open_requests) const
{
    return now >= this->end ||
           (now >= this->last_request && open_requests == 0);
}

} // namespace parsleytrack::relay
