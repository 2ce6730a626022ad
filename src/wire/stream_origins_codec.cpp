#include "wire/codec_impl.hpp"
#include "wire/generated/stream_origins_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(stream_origin_notice)
PARSLEYTRACK_DEFINE_CODEC(stream_origin_inquiry)
PARSLEYTRACK_DEFINE_CODEC(stream_origin_reply)
PARSLEYTRACK_DEFINE_CODEC(storage_node_record)

} // namespace parsleytrack::wire
