#include "wire/codec_impl.hpp"
#include "wire/generated/job_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(job_record)
PARSLEYTRACK_DEFINE_CODEC(lot_record)
PARSLEYTRACK_DEFINE_CODEC(stored_item_list)
PARSLEYTRACK_DEFINE_CODEC(stored_result_list)
PARSLEYTRACK_DEFINE_CODEC(job_nudge)

} // namespace parsleytrack::wire
