#pragma once

#include "key_value/stored_record.hpp"
#include "units/time.hpp"

#include <optional>
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
        /// No changes; the store has confirmed the records again.
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
    /// How long ago the store had confirmed the records when the message was
    /// sent; absent in messages of earlier builds, which do not say.
    std::optional<duration> age;
};

} // namespace parsleytrack::feeds
