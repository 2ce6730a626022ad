#pragma once

#include "key_value/stored_record.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::feeds
{

/// Records of one prefix, merged from sources that may lag behind each other.
/// Data from a lagging source never overwrites newer data.
class merged_records
{
public:
    using change_list = std::vector<key_value::record_change>;

    /// Replaces the records with a full listing.
    ///
    /// \returns The resulting changes; absent when the listing is older than
    /// the records, which then stay as they are.
    std::optional<change_list>
    apply_listing(const key_value::record_listing& listing);

    /// Applies changes that directly follow the previous data of the same
    /// source.
    ///
    /// \returns The changes that were new, in their order.
    change_list apply_changes(const change_list& changes);

    /// \returns All records.
    key_value::record_listing all() const;

    /// \param position The revision up to which a subscriber is complete.
    /// \returns The changes since then; absent when the erased keys are no
    /// longer remembered back to that revision.
    std::optional<change_list> changes_since(store_revision position) const;

    std::size_t size() const { return this->records.size(); }

    /// \returns The store's revision up to which the records are complete; 0
    /// before the first listing.
    store_revision position() const { return this->complete_to; }

private:
    void erase(const std::string& key, store_revision revision);

    std::map<std::string, key_value::stored_record> records;
    /// Recently erased keys, with an upper bound of the revision of the
    /// erasure.
    std::map<std::string, store_revision> erased;
    /// All keys erased after this revision are in `erased`.
    store_revision erased_since;
    store_revision complete_to;
};

} // namespace parsleytrack::feeds
