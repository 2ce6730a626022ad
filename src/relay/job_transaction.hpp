#pragma once

#include "jobs/job_commit.hpp"
#include "key_value/record_transaction.hpp"
#include "relay/usage_tracker.hpp"

namespace parsleytrack::relay
{

/// \param usage The route's waiting tokens after the commit, and the revision
/// that their record must still have.
/// \returns The transaction that writes the commit to the store.
key_value::record_transaction transaction_of(const jobs::job_commit& commit,
                                             usage_tracker::usage usage);

} // namespace parsleytrack::relay
