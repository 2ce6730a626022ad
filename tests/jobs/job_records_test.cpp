#include "jobs/job_codec.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::jobs;

TEST_GROUP(job_records){};

// Guards against going on at another service with the output of a release that
// did not record the service: such an item starts anew.
TEST(job_records, progress_without_a_service_is_dropped)
{
    wire::node_job_progress message;
    message.items.resize(2);
    for (wire::node_job_partial& item : message.items)
    {
        item.last_event = 3;
        item.__set_version("v1");
    }
    message.items[1].item = 1;
    message.items[1].__set_service_name("llm");
    const auto read = decode_progress(wire::encode(message));
    CHECK_EQUAL(1, read.value().size());
    STRCMP_EQUAL("llm", read.value().at(1).service.str().c_str());
    CHECK(read.value() == decode_progress(encode(read.value())).value());
}
