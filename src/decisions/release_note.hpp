#pragma once

#include "units/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack
{

/// What an operator adds, changes and withdraws.
struct release_note
{
    enum class kind
    {
        model,
        adapter
    };

    struct entry
    {
        kind what = kind::model;
        std::string name;
        /// Empty, in "withdrawn" only, for all versions.
        std::string version;
        /// A model's service or an adapter's model; may be empty in
        /// "withdrawn".
        std::string owner;
        /// JSON pointer to the entry, for findings.
        std::string place;
    };

    note_id id;
    std::vector<entry> added;
    std::vector<entry> changed;
    std::vector<entry> withdrawn;
};

/// \param note Any note.
/// \returns A hash of what it says, the same for the same contents.
std::uint64_t digest_of(const release_note& note);

} // namespace parsleytrack
