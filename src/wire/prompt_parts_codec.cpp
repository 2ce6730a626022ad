#include "wire/codec_impl.hpp"
#include "wire/generated/prompt_parts_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(part_knowledge)

} // namespace parsleytrack::wire
