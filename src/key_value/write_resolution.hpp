#pragma once

#include "key_value/write_envelope.hpp"
#include "units/numbers.hpp"

#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// What is known about whether a write was applied.
enum class write_status
{
    /// Not known yet; the same transaction must be sent again.
    pending,
    applied,
    /// The write was not applied and never will be.
    not_applied,
    /// It can no longer be determined.
    unknown
};

/// Determines whether a compare-and-swap was applied although responses were
/// lost. The same transaction is sent with the same expected revision until a
/// response arrives: a revision is never used twice, so at most one attempt can
/// succeed, and once the key has another revision none can any more. The ids in
/// the envelope show which write changed the revision.
///
/// Each attempt has its own id, so that a delayed attempt that creates the key
/// again after a deletion is not mistaken for the first one.
///
/// A key that was absent has no revision of its own, and a delayed attempt
/// could create it again after a deletion; "not applied" is then reported only
/// if no response has been lost.
class write_resolution
{
public:
    /// \param write_id The id of this write; must not contain a dot.
    /// \param expected The revision that the transaction expects.
    /// \param base_id The newest write id in the envelope at that revision;
    /// empty if there is none.
    write_resolution(std::string write_id, store_revision expected,
                     std::string base_id);

    /// \returns The id for the envelope of the next attempt.
    std::string next_attempt_id();

    /// Records that an attempt was sent and its response was lost.
    void record_lost_response() { this->response_lost = true; }

    /// Records that the store has applied an attempt.
    write_status record_success();

    /// Records that the comparison of an attempt failed.
    ///
    /// \param revision The key's current revision; 0 if it is absent.
    /// \param write_ids The ids in the key's current envelope.
    write_status
    record_failed_compare(store_revision revision,
                          const std::vector<std::string>& write_ids);

    /// Ends the resolution; no further attempt will be sent.
    write_status abandon();

    /// Records that the store rejected the transaction without comparing the
    /// key's revision.
    write_status record_rejection() { return this->abandon(); }

    /// \returns Whether an attempt may have been applied, or may still be.
    bool has_lost_responses() const { return this->response_lost; }

private:
    write_status decide(write_status status);

    std::string write_id;
    store_revision expected;
    std::string base_id;
    int attempts = 0;
    bool response_lost = false;
    write_status decided = write_status::pending;
};

} // namespace parsleytrack::key_value
