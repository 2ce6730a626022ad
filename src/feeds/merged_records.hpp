#pragma once

#include "key_value/stored_record.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::feeds
{

/// Records of one prefix, joined from sources that may be behind one another.
/// What has been learned from one is never undone by another.
class merged_records
{
public:
    using change_list = std::vector<key_value::record_change>;

    /// Takes a full listing.
    ///
    /// \returns What it changes; absent when it is older than what is known.
    std::optional<change_list>
    apply_listing(const key_value::record_listing& listing);

    /// Takes changes that follow what the same source has said before.
    ///
    /// \returns Those that were not known yet, in their order.
    change_list apply_changes(const change_list& changes);

    /// \returns Everything that is known.
    key_value::record_listing all() const;

    /// \param position A revision up to which someone else is complete.
    /// \returns What has changed since; absent when it is not known any more
    /// what was erased since.
    std::optional<change_list> changes_since(store_revision position) const;

    std::size_t size() const { return this->records.size(); }

    /// \returns The store's revision up to which the records are complete; 0
    /// before the first listing.
    store_revision position() const { return this->complete_to; }

private:
    void erase(const std::string& key, store_revision revision);

    std::map<std::string, key_value::stored_record> records;
    /// Keys that were erased lately, and the revision at the latest.
    std::map<std::string, store_revision> erased;
    /// From this revision on all erased keys are remembered.
    store_revision erased_since;
    store_revision complete_to;
};

} // namespace parsleytrack::feeds
