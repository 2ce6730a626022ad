#pragma once

#include "key_value/stored_record.hpp"

#include <vector>

namespace parsleytrack::feeds
{

/// A message from a source to its subscribers.
struct feed_message
{
    enum class kind
    {
        /// All records.
        all,
        /// The changes since the last message.
        changes,
        /// No changes; shows that the source is live and can reach the store.
        unchanged,
        /// The source cannot reach the store.
        failing,
        /// All records as the sender, which cannot reach the store, last knew
        /// them; for nodes that know older ones or none.
        last_known
    };

    kind what = kind::unchanged;
    std::vector<key_value::record_change> records;
    /// For kind::all and kind::last_known: the store's revision up to which the
    /// records are complete.
    store_revision position;
};

} // namespace parsleytrack::feeds
