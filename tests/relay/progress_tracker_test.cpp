#include "jobs/job_codec.hpp"
#include "relay/job_keys.hpp"
#include "relay/progress_tracker.hpp"
#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(progress_tracker)
{
    time_point now = time_point() + std::chrono::hours(1);
    progress_tracker tracker{job_id("j"), {}, this->now};

    key_value::record_transaction save()
    {
        key_value::record_transaction transaction;
        this->tracker.add_to(transaction, this->now);
        return transaction;
    }
};

TEST(progress_tracker, writes_unsaved_progress_once)
{
    CHECK_FALSE(this->tracker.has_unsaved());
    this->tracker.progress_of(3) =
        jobs::item_progress{5, "text", software_version("v1")};
    CHECK(this->tracker.has_unsaved());
    const auto written = this->save();
    CHECK_EQUAL(1, written.puts.size());
    STRCMP_EQUAL(job_progress_key(job_id("j")).c_str(),
                 written.puts[0].key.c_str());
    const auto read = jobs::decode_progress(written.puts[0].value);
    CHECK(read.value().at(3) == this->tracker.progress_of(3));
    CHECK_FALSE(this->tracker.has_unsaved());
}

TEST(progress_tracker, limits_how_often_it_writes)
{
    this->tracker.progress_of(1) =
        jobs::item_progress{1, "a", software_version("v1")};
    CHECK_FALSE(this->tracker.is_due(this->now));
    this->now += std::chrono::seconds(3);
    CHECK(this->tracker.is_due(this->now));
    this->save();
    this->now += std::chrono::seconds(2);
    CHECK_FALSE(this->tracker.is_due(this->now));
}

// Guards against losing all of an item's work in a kill of its node because its
// progress was saved just before its version was confirmed, two seconds after
// its connection was opened, and next saved 2.5 s later.
TEST(progress_tracker, progress_without_a_version_is_soon_saved_again)
{
    this->tracker.progress_of(1) =
        jobs::item_progress{4, "a", software_version("v1")};
    this->tracker.progress_of(2) = jobs::item_progress{4, "a"};
    this->now += std::chrono::seconds(3);
    this->save();
    CHECK_FALSE(this->tracker.is_due(this->now));
    this->now += std::chrono::seconds(1);
    CHECK(this->tracker.is_due(this->now));
    this->tracker.progress_of(2).version = software_version("v1");
    this->save();
    this->now += std::chrono::seconds(2);
    CHECK_FALSE(this->tracker.is_due(this->now));
}

TEST(progress_tracker, is_erased_once_no_item_needs_it)
{
    this->tracker.progress_of(1) = jobs::item_progress{1, "a"};
    this->save();
    this->tracker.erase(1);
    const auto last = this->save();
    CHECK(last.puts.empty());
    CHECK_EQUAL(1, last.erased.size());
    CHECK(this->save().erased.empty());
}

TEST(progress_tracker, progress_saved_by_an_earlier_owner_is_not_unsaved)
{
    const progress_tracker taken(job_id("j"), {{2, {7, "seven"}}}, this->now);
    CHECK_FALSE(taken.has_unsaved());
}

TEST(progress_tracker, limits_the_size_of_the_record)
{
    const std::string large(200 * 1024, 'x');
    this->tracker.progress_of(1) = jobs::item_progress{1, large};
    this->tracker.progress_of(2) = jobs::item_progress{1, large};
    const auto read = jobs::decode_progress(this->save().puts[0].value);
    CHECK_EQUAL(1, read.value().size());
}

// Guards against going on at any version or service with output that an earlier
// release of this program has saved, which does not say what began it.
TEST(progress_tracker, progress_of_an_unknown_version_or_service_is_not_used)
{
    wire::node_job_progress message;
    wire::node_job_partial& entry = message.items.emplace_back();
    entry.item = 2;
    entry.last_event = 7;
    entry.output = "seven";
    CHECK(jobs::decode_progress(wire::encode(message)).value().empty());
    entry.__set_version("v1");
    CHECK(jobs::decode_progress(wire::encode(message)).value().empty());
    entry.__set_service_name("llm");
    const auto known = jobs::decode_progress(wire::encode(message)).value();
    CHECK_EQUAL(1, known.size());
    CHECK(known == jobs::decode_progress(jobs::encode(known)).value());
}
