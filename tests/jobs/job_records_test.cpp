#include "jobs/job_codec.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::jobs;

TEST_GROUP(job_records){};

// Guards against records of an earlier release that cannot be read.
TEST(job_records, a_state_without_a_configuration_is_read)
{
    wire::node_job_state message;
    message.job = "job";
    const auto read = decode_state(wire::encode(message));
    CHECK(read.value().configuration == configuration_version());
}
