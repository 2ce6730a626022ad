#include "wire/codec_impl.hpp"
#include "wire/generated/frame_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(frame)
PARSLEYTRACK_DEFINE_CODEC(failure)

} // namespace parsleytrack::wire
