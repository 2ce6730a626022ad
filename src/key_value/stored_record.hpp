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

/// Keys of a prefix, and the store's revision at which the last were read.
struct record_listing
{
    std::vector<stored_record> records;
    store_revision read_revision;
    /// Whether more keys follow.
    bool truncated = false;
};

/// Changes of a prefix; a record without a revision of existence stands for a
/// deletion.
struct record_change
{
    stored_record record;
    bool deleted = false;
};

/// What one call to wait for changes has brought.
struct record_changes
{
    std::vector<record_change> changes;
    store_revision read_revision;
    /// The store has discarded the history that was asked for.
    bool history_lost = false;
};

} // namespace parsleytrack::key_value
