#pragma once

#include "decisions/item_result.hpp"
#include "decisions/lot_record.hpp"
#include "units/numbers.hpp"

#include <variant>
#include <vector>

namespace parsleytrack
{

/// Read the lot's record and pass it to lot_owner::on_record().
struct read_lot_record
{
};

/// Read the job's record and pass it to lot_owner::on_job().
struct read_job_record
{
};

/// Write a segment of results to the keepers and pass its placement to
/// lot_owner::on_written().
struct write_result_segment
{
    std::vector<item_result> results;
};

/// Write the lot's record if it still has the expected revision and pass the
/// outcome to lot_owner::on_swap().
struct swap_lot_record
{
    store_revision expected;
    lot_record next;
};

/// What the owner of a lot has to have done next.
using lot_action = std::variant<read_lot_record, read_job_record,
                                write_result_segment, swap_lot_record>;

} // namespace parsleytrack
