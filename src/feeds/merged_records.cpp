#include "feeds/merged_records.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::feeds
{

namespace
{

/// Several times the number of replicas that leave the largest fleet during a
/// release.
constexpr std::size_t max_erased_keys = 4000;

} // namespace

std::optional<merged_records::change_list>
merged_records::apply_listing(const key_value::record_listing& listing)
{
    if (listing.read_revision < this->complete_to)
    {
        return std::nullopt;
    }
    change_list changes;
    std::map<std::string, key_value::stored_record> before =
        std::exchange(this->records, {});
    for (const key_value::stored_record& record : listing.records)
    {
        const auto known = before.find(record.key);
        if (known == before.end() || known->second.revision != record.revision)
        {
            changes.push_back({record, false});
        }
        if (known != before.end())
        {
            before.erase(known);
        }
        this->erased.erase(record.key);
        this->records[record.key] = record;
    }
    if (this->complete_to == store_revision())
    {
        this->erased_since = listing.read_revision;
    }
    this->complete_to = listing.read_revision;
    for (const auto& [key, record] : before)
    {
        this->erase(key, listing.read_revision);
        changes.push_back(
            {key_value::stored_record{key, {}, listing.read_revision}, true});
    }
    return changes;
}

merged_records::change_list
merged_records::apply_changes(const change_list& changes)
{
    change_list updates;
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
            this->erase(change.record.key, revision);
        }
        else
        {
            this->erased.erase(change.record.key);
            this->records[change.record.key] = change.record;
        }
        this->complete_to = std::max(this->complete_to, revision);
        updates.push_back(change);
    }
    return updates;
}

void merged_records::erase(const std::string& key, store_revision revision)
{
    this->erased[key] = revision;
    if (this->erased.size() > max_erased_keys)
    {
        this->erased.clear();
        this->erased_since = this->complete_to;
    }
}

key_value::record_listing merged_records::all() const
{
    key_value::record_listing listing;
    for (const auto& [key, record] : this->records)
    {
        listing.records.push_back(record);
    }
    listing.read_revision = this->complete_to;
    return listing;
}

std::optional<merged_records::change_list>
merged_records::changes_since(store_revision position) const
{
    if (position < this->erased_since)
    {
        return std::nullopt;
    }
    change_list changes;
    for (const auto& [key, record] : this->records)
    {
        if (record.revision > position)
        {
            changes.push_back({record, false});
        }
    }
    for (const auto& [key, revision] : this->erased)
    {
        if (revision > position)
        {
            changes.push_back(
                {key_value::stored_record{key, {}, revision}, true});
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& first, const auto& second)
              { return first.record.revision < second.record.revision; });
    return changes;
}

} // namespace parsleytrack::feeds
