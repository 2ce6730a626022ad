#include "units/descriptor_limit.hpp"

#include <sys/resource.h>

namespace parsleytrack
{

namespace
{

/// Used where the system reports no limit.
constexpr std::size_t default_descriptors = 1024;

} // namespace

std::size_t descriptor_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY)
    {
        return default_descriptors;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace parsleytrack
