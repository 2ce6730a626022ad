#include "wire/codec_impl.hpp"
#include "wire/generated/slots_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(slot_order)
PARSLEYTRACK_DEFINE_CODEC(slot_answer)
PARSLEYTRACK_DEFINE_CODEC(replica_report)

} // namespace parsleytrack::wire
