#pragma once

#include "decisions/release_note.hpp"
#include "decisions/release_record.hpp"
#include "units/finding.hpp"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace parsleytrack
{

/// Decides what becomes of a release note, from the record in the store. The
/// note is accepted once the new record has replaced exactly that one.
namespace release_ledger
{

/// Notes that the record itself remembers; older ones are archived.
constexpr std::size_t most_recent_notes = 64;

/// The record to write.
struct acceptance
{
    release_record next;
    /// Falls out of the record, so it is to be archived before.
    std::optional<accepted_note> to_archive;
};

/// The note was accepted before.
struct repetition
{
    release_version version;
};

/// Another release is in force than the operator expects.
struct conflict
{
    release_version in_force;
    std::string message;
    /// The notes accepted since the expected version, the oldest first.
    std::vector<accepted_note> since;
};

using outcome = std::variant<acceptance, repetition, conflict, findings>;

/// \param current The record in the store.
/// \param archived The archived note of the same id, if there is one.
/// \param note The operator's note.
/// \param expected The version that the operator saw in force.
/// \param services The services that can serve models; empty for "any".
outcome decide(const release_record& current,
               const std::optional<accepted_note>& archived,
               const release_note& note, release_version expected,
               const std::set<service_name>& services);

} // namespace release_ledger

} // namespace parsleytrack
