#pragma once

#include "units/numbers.hpp"

#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// A key of the platform's store as it was read.
struct stored_record
{
    std::string key;
    std::string value;
    /// Revision of the last change; 0 when the key does not exist.
    store_revision revision;

    bool exists() const { return this->revision != store_revision(); }
};

/// Keys that begin with a prefix, and the store's revision when they were read;
/// with several pages, that of the first page.
struct record_listing
{
    std::vector<stored_record> records;
    store_revision read_revision;
    /// Whether more keys follow.
    bool truncated = false;
};

/// A change of one key. For a deletion, `deleted` is set.
struct record_change
{
    stored_record record;
    bool deleted = false;
};

/// The result of one call that waits for changes.
struct record_changes
{
    std::vector<record_change> changes;
    store_revision read_revision;
    /// The store has already discarded the requested changes.
    bool history_lost = false;
};

} // namespace parsleytrack::key_value
