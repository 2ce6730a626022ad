#pragma once

#include "key_value/write_envelope.hpp"
#include "units/numbers.hpp"

#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// What is known of a write.
enum class write_status
{
    /// The answer was lost; the same transaction is to be sent again.
    pending,
    applied,
    /// It has not been applied and never will be.
    not_applied,
    /// It cannot be found out any more.
    unknown
};

/// Finds out whether a compare-and-swap was applied, although answers are
/// lost. The same transaction is sent with the same expected revision until an
/// answer comes: a revision is never used twice, so at most one of the copies
/// can succeed, and once the key has another revision none can any more. The
/// ids in the envelope tell whose write moved the revision on.
///
/// Each copy has an id of its own, so that a creation that a late copy repeats
/// after a deletion is not taken for the first one.
///
/// A key that was absent has no revision of its own, and a late copy could
/// create it again after a deletion; "not applied" is then only said while no
/// answer has been lost.
class write_resolution
{
public:
    /// \param write_id The id of this write; holds no dot.
    /// \param expected The revision that the transaction expects.
    /// \param base_id The newest write id in the envelope at that revision;
    /// empty when there is none.
    write_resolution(std::string write_id, store_revision expected,
                     std::string base_id);

    /// \returns The id for the envelope of the next copy.
    std::string next_attempt_id();

    /// A copy was sent and its answer lost.
    void record_lost_response() { this->response_lost = true; }

    /// A copy was answered with "succeeded".
    write_status record_success();

    /// A copy was answered with "failed".
    ///
    /// \param revision The key's revision now; 0 when it is absent.
    /// \param write_ids The ids in its envelope.
    write_status
    record_failed_compare(store_revision revision,
                          const std::vector<std::string>& write_ids);

    /// No copy will be sent any more.
    write_status abandon();

    /// The store has refused the transaction without looking at the key.
    write_status record_rejection() { return this->abandon(); }

    /// \returns Whether a copy may still take effect.
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
