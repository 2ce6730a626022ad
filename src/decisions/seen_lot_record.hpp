#pragma once

#include "decisions/lot_record.hpp"
#include "units/numbers.hpp"

namespace parsleytrack
{

/// A lot's record as it was read, and its revision in the store.
struct seen_lot_record
{
    lot_record record;
    store_revision revision;
};

} // namespace parsleytrack
