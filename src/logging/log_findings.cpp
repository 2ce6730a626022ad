#include "logging/log_findings.hpp"

#include "logging/log.hpp"

namespace parsleytrack
{

void log_findings(std::string_view event, const findings& problems)
{
    for (const finding& problem : problems)
    {
        log_event(log_level::error, event,
                  {{"place", problem.location}, {"message", problem.message}});
    }
}

} // namespace parsleytrack
