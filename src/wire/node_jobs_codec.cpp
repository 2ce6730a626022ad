#include "wire/codec_impl.hpp"
#include "wire/generated/node_jobs_types.h"

namespace parsleytrack::wire
{

PARSLEYTRACK_DEFINE_CODEC(node_job_input)
PARSLEYTRACK_DEFINE_CODEC(node_job_state)
PARSLEYTRACK_DEFINE_CODEC(node_job_usage)
PARSLEYTRACK_DEFINE_CODEC(node_job_read)
PARSLEYTRACK_DEFINE_CODEC(node_job_page)
PARSLEYTRACK_DEFINE_CODEC(node_job_news)
PARSLEYTRACK_DEFINE_CODEC(node_job_progress)
PARSLEYTRACK_DEFINE_CODEC(node_job_handover)

} // namespace parsleytrack::wire
