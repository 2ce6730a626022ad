#include "wire/codec_impl.hpp"
#include "wire/generated/once_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(once_page)
PARSLEYTRACK_DEFINE_CODEC(once_request)
PARSLEYTRACK_DEFINE_CODEC(once_reply)

} // namespace parsleytrack::wire
