#include "decisions/release_ledger.hpp"

#include "decisions/release_application.hpp"
#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::release_ledger
{

namespace
{

constexpr std::size_t most_change_lines = 20;

const accepted_note* find(const release_record& record, const note_id& id)
{
    const auto found = std::find_if(record.recent.begin(), record.recent.end(),
                                    [&id](const accepted_note& note)
                                    { return note.id == id; });
    return found == record.recent.end() ? nullptr : &*found;
}

outcome repeat(const release_record& current, const accepted_note& earlier,
               const release_note& note)
{
    if (earlier.digest == digest_of(note))
    {
        return repetition{earlier.version};
    }
    return conflict{current.contents.version,
                    "version " + std::to_string(earlier.version.count()) +
                        " has this note_id and other contents",
                    {}};
}

conflict make_conflict(const release_record& current, release_version expected)
{
    conflict refusal;
    refusal.in_force = current.contents.version;
    refusal.message = "version " + std::to_string(expected.count()) +
                      " was expected, but version " +
                      std::to_string(refusal.in_force.count()) + " is in force";
    for (const accepted_note& earlier : current.recent)
    {
        if (earlier.version > expected)
        {
            refusal.since.insert(refusal.since.begin(), earlier);
        }
    }
    return refusal;
}

acceptance accept(const release_record& current, catalogue next,
                  const release_note& note)
{
    accepted_note entry;
    entry.id = note.id;
    entry.version = next.version;
    entry.digest = digest_of(note);
    entry.changes = differences(current.contents, next);
    if (entry.changes.size() > most_change_lines)
    {
        entry.changes.resize(most_change_lines);
    }
    acceptance accepted;
    accepted.next.contents = std::move(next);
    accepted.next.recent = current.recent;
    accepted.next.recent.insert(accepted.next.recent.begin(), std::move(entry));
    if (accepted.next.recent.size() > most_recent_notes)
    {
        accepted.to_archive = std::move(accepted.next.recent.back());
        accepted.next.recent.pop_back();
    }
    return accepted;
}

} // namespace

outcome decide(const release_record& current,
               const std::optional<accepted_note>& archived,
               const release_note& note, release_version expected,
               const std::set<service_name>& services)
{
    if (const accepted_note* earlier = find(current, note.id))
    {
        return repeat(current, *earlier, note);
    }
    if (archived)
    {
        return repeat(current, *archived, note);
    }
    if (expected != current.contents.version)
    {
        return make_conflict(current, expected);
    }
    auto applied = apply_release_note(current.contents, note, services);
    if (auto* problems = std::get_if<findings>(&applied))
    {
        return std::move(*problems);
    }
    acceptance accepted =
        accept(current, std::move(std::get<catalogue>(applied)), note);
    check_invariant(accepted.next.contents.version ==
                        current.contents.version.next(),
                    "each accepted note gets the next version");
    return accepted;
}

} // namespace parsleytrack::release_ledger
