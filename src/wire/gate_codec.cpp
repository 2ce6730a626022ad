#include "wire/codec_impl.hpp"
#include "wire/generated/gate_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(forward_order)
PARSLEYTRACK_DEFINE_CODEC(forward_head)
PARSLEYTRACK_DEFINE_CODEC(replica_load_list)

} // namespace parsleytrack::wire
