#include "wire/codec_impl.hpp"
#include "wire/generated/membership_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(membership_datagram)
PARSLEYTRACK_DEFINE_CODEC(view)
PARSLEYTRACK_DEFINE_CODEC(region_state_list)

} // namespace parsleytrack::wire
