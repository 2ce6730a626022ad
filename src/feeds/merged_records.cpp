#include "feeds/merged_records.hpp"

#include <algorithm>

namespace parsleytrack::feeds
{

bool merged_records::take_all(const key_value::record_listing& listing)
{
    if (listing.read_at < this->complete_to)
    {
        return false;
    }
    this->records.clear();
    for (const key_value::stored_record& record : listing.records)
    {
        this->records[record.key] = record;
    }
    this->complete_to = listing.read_at;
    return true;
}

std::vector<key_value::record_change> merged_records::take_changes(
    const std::vector<key_value::record_change>& changes)
{
    std::vector<key_value::record_change> news;
    const store_revision known_before = this->complete_to;
    for (const key_value::record_change& change : changes)
    {
        const store_revision revision = change.record.revision;
        if (revision <= known_before)
        {
            continue;
        }
        if (change.deleted)
        {
            this->records.erase(change.record.key);
        }
        else
        {
            this->records[change.record.key] = change.record;
        }
        this->complete_to = std::max(this->complete_to, revision);
        news.push_back(change);
    }
    return news;
}

key_value::record_listing merged_records::all() const
{
    key_value::record_listing listing;
    for (const auto& [key, record] : this->records)
    {
        listing.records.push_back(record);
    }
    listing.read_at = this->complete_to;
    return listing;
}

} // namespace parsleytrack::feeds
