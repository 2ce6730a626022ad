#include "wire/codec_impl.hpp"
#include "wire/generated/allotments_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(allotment_order)
PARSLEYTRACK_DEFINE_CODEC(allotment_answer)

} // namespace parsleytrack::wire
