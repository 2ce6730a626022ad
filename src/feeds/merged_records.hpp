#pragma once

#include "key_value/stored_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleytrack::feeds
{

/// Records of one prefix, joined from sources that may be behind one another.
/// What has been learned from one is never undone by another.
class merged_records
{
public:
    /// Takes a full listing.
    ///
    /// \returns Whether it was taken; an older one than what is known is not.
    bool take_all(const key_value::record_listing& listing);

    /// Takes changes that follow what the same source has said before.
    ///
    /// \returns Those that were not known yet, in their order.
    std::vector<key_value::record_change>
    take_changes(const std::vector<key_value::record_change>& changes);

    /// \returns Everything that is known.
    key_value::record_listing all() const;

    /// \returns The store's revision up to which the records are complete; 0
    /// before the first listing.
    store_revision position() const { return this->complete_to; }

private:
    std::map<std::string, key_value::stored_record> records;
    store_revision complete_to;
};

} // namespace parsleytrack::feeds
