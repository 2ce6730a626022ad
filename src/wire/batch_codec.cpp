#include "wire/codec_impl.hpp"
#include "wire/generated/batch_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(batch_item)
PARSLEYTRACK_DEFINE_CODEC(pull_request)
PARSLEYTRACK_DEFINE_CODEC(pull_reply)
PARSLEYTRACK_DEFINE_CODEC(item_report)
PARSLEYTRACK_DEFINE_CODEC(item_report_list)
PARSLEYTRACK_DEFINE_CODEC(item_cancel_list)
PARSLEYTRACK_DEFINE_CODEC(batch_offer_list)

} // namespace parsleytrack::wire
