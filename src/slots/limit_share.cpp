#include "slots/limit_share.hpp"

#include <algorithm>

namespace parsleytrack::slots
{

namespace
{

/// A replica says in its responses only when its limit ends, so it has to get a
/// request now and then.
constexpr request_rate least_rate(0.2);

} // namespace

request_rate limit_share(request_rate named, const group_view& view)
{
    if (!view.is_broker)
    {
        return request_rate(0.0);
    }
    const auto live = static_cast<double>(view.live_nodes);
    const auto lost = static_cast<double>(view.lost_nodes);
    return request_rate(std::max(named, least_rate).per_second() * live /
                        (live + lost));
}

} // namespace parsleytrack::slots
