#include "membership/heartbeat_baseline.hpp"

#include <algorithm>

namespace parsleytrack
{

heartbeat_baseline::outcome heartbeat_baseline::run(std::uint64_t seed,
                                                    int count, double loss,
                                                    duration dead_timeout,
                                                    duration time_before_kill)
{
    // About the size of a probe of the membership.
    constexpr std::uint64_t heartbeat_bytes = 80;
    constexpr duration interval = std::chrono::milliseconds(500);
    constexpr int victim = 0;
    random_source random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    const auto size = static_cast<std::size_t>(count);
    std::vector<std::vector<duration>> last_heard(size,
                                                  std::vector<duration>(size));
    std::vector<std::vector<bool>> dead(size, std::vector<bool>(size));
    outcome seen;
    std::uint64_t bytes = 0;
    duration now = duration::zero();
    bool detected = false;
    while (!detected)
    {
        now += interval;
        detected = true;
        for (std::size_t from = 0; from < size; ++from)
        {
            const bool killed = from == victim && now > time_before_kill;
            for (std::size_t to = 0; to < size; ++to)
            {
                if (to == from)
                {
                    continue;
                }
                bytes += killed ? 0 : heartbeat_bytes;
                if (!killed && chance(random) >= loss)
                {
                    last_heard[to][from] = now;
                }
                const bool timed_out =
                    now - last_heard[to][from] >= dead_timeout;
                seen.false_deaths +=
                    timed_out && !killed && !dead[to][from] ? 1 : 0;
                dead[to][from] = timed_out;
                detected = detected && (from != victim || timed_out);
            }
        }
        detected = detected && now > time_before_kill;
    }
    seen.detection = now - time_before_kill;
    seen.bytes_per_node_and_second = static_cast<double>(bytes) / count /
                                     std::chrono::duration<double>(now).count();
    return seen;
}

} // namespace parsleytrack
