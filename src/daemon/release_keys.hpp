#pragma once

namespace parsleytrack
{

/// The store's key of the release in force.
constexpr const char* current_release_key = "parsleytrack/release/current";
/// The store's keys of accepted notes that the record of the release in force
/// has no room for; followed by the note's id.
constexpr const char* archived_note_prefix = "parsleytrack/release/notes/";

} // namespace parsleytrack
