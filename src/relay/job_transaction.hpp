#pragma once

#include "jobs/job_commit.hpp"
#include "key_value/record_transaction.hpp"
#include "relay/usage_tracker.hpp"

namespace parsleytrack::relay
{

/// \param commit Outcomes that are to be written.
/// \param usage The route's tokens after it, and the revision that their record
/// must still have.
/// \returns The transaction.
key_value::record_transaction transaction_of(const jobs::job_commit& commit,
                                             usage_tracker::usage usage);

} // namespace parsleytrack::relay
