#pragma once

#include "key_value/stored_record.hpp"

#include <vector>

namespace parsleytrack::feeds
{

/// One message of a feed.
struct feed_message
{
    enum class kind
    {
        /// All records.
        all,
        /// What has changed since the last message.
        changes,
        /// Nothing has; shows that the source lives and reaches the store.
        unchanged,
        /// The source does not reach the store.
        failing
    };

    kind what = kind::unchanged;
    std::vector<key_value::record_change> records;
    /// All: the store's revision up to which the records are complete.
    store_revision position;
};

} // namespace parsleytrack::feeds
