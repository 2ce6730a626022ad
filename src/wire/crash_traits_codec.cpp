#include "wire/codec_impl.hpp"
#include "wire/generated/crash_traits_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(trait_knowledge)

} // namespace parsleytrack::wire
