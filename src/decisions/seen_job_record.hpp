#pragma once

#include "decisions/job_record.hpp"
#include "units/numbers.hpp"

namespace parsleytrack
{

/// A job's record as it was read, and its revision in the store.
struct seen_job_record
{
    job_record record;
    store_revision revision;
};

} // namespace parsleytrack
