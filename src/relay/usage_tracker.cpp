#include "relay/usage_tracker.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

usage_tracker::usage usage_tracker::get(const std::string& route_name) const
{
    const auto found = this->values.find(route_name);
    return found == this->values.end() ? usage{} : found->second;
}

void usage_tracker::update(const std::string& route_name,
                           const key_value::stored_record& record)
{
    usage value;
    value.revision = record.revision;
    if (record.exists())
    {
        const auto read = jobs::decode_usage(record.value);
        if (read.has_error())
        {
            log_event(log_level::error, "usage_record_damaged",
                      {{"key", record.key},
                       {"reason", read.error().message},
                       {"taken_as", 0}});
        }
        else
        {
            value.waiting = read.value();
        }
    }
    this->values[route_name] = value;
}

bool usage_tracker::update_from(
    const std::string& route_name,
    const std::vector<key_value::stored_record>& current)
{
    const auto found =
        std::find_if(current.begin(), current.end(),
                     [key = job_usage_key(route_name)](const auto& record)
                     { return record.key == key; });
    if (found == current.end())
    {
        return false;
    }
    this->update(route_name, *found);
    return true;
}

void usage_tracker::set(const std::string& route_name, usage value)
{
    this->values[route_name] = value;
}

} // namespace parsleytrack::relay
