#include "relay/usage_tracker.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

usage_tracker::usage
usage_tracker::get(const jobs::usage_account& account) const
{
    const auto found = this->values.find(account);
    return found == this->values.end() ? usage{} : found->second;
}

void usage_tracker::update(const jobs::usage_account& account,
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
    this->values[account] = value;
}

bool usage_tracker::update_from(
    const jobs::usage_account& account,
    const std::vector<key_value::stored_record>& current)
{
    const auto found =
        std::find_if(current.begin(), current.end(),
                     [key = job_usage_key(account)](const auto& record)
                     { return record.key == key; });
    if (found == current.end())
    {
        return false;
    }
    this->update(account, *found);
    return true;
}

void usage_tracker::set(const jobs::usage_account& account, usage value)
{
    this->values[account] = value;
}

} // namespace parsleytrack::relay
