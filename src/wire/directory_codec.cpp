#include "wire/codec_impl.hpp"
#include "wire/generated/directory_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(directory_reply)

} // namespace parsleytrack::wire
