#include "wire/codec_impl.hpp"
#include "wire/generated/release_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(release_reply)
PARSLEYTRACK_DEFINE_CODEC(release_progress_reply)

} // namespace parsleytrack::wire
