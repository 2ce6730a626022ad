#include "wire/codec_impl.hpp"
#include "wire/generated/storage_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(segment_content)
PARSLEYTRACK_DEFINE_CODEC(segment_name)
PARSLEYTRACK_DEFINE_CODEC(segment_name_list)
PARSLEYTRACK_DEFINE_CODEC(record_copy)
PARSLEYTRACK_DEFINE_CODEC(record_query)
PARSLEYTRACK_DEFINE_CODEC(record_copy_list)

} // namespace parsleytrack::wire
