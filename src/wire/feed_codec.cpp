#include "wire/codec_impl.hpp"
#include "wire/generated/feed_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(feed_question)
PARSLEYTRACK_DEFINE_CODEC(feed_part)

} // namespace parsleytrack::wire
