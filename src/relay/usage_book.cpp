#include "relay/usage_book.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

usage_book::usage usage_book::get(const std::string& route_name) const
{
    const auto found = this->values.find(route_name);
    return found == this->values.end() ? usage{} : found->second;
}

void usage_book::take(const std::string& route_name,
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

bool usage_book::take_from(const std::string& route_name,
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
    this->take(route_name, *found);
    return true;
}

void usage_book::set(const std::string& route_name, usage value)
{
    this->values[route_name] = value;
}

} // namespace parsleytrack::relay
