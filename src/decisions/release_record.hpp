#pragma once

#include "decisions/catalogue.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack
{

/// A note that was accepted.
struct accepted_note
{
    note_id id;
    release_version version;
    /// digest_of() the note.
    std::uint64_t digest = 0;
    /// What it changed; the first lines where there are many.
    std::vector<std::string> changes;

    bool operator==(const accepted_note&) const = default;
};

/// The value of the store's key of the release in force.
struct release_record
{
    catalogue contents;
    /// The last accepted notes, the newest first.
    std::vector<accepted_note> recent;

    bool operator==(const release_record&) const = default;
};

} // namespace parsleytrack
