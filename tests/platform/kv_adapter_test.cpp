#include "platform/kv_adapter.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace parsleytrack;
using namespace parsleytrack::platform;
using key_value::read_freshness;

TEST_GROUP(kv_adapter)
{
    kv_adapter kv;

    static net::http_response response(int status, const char* body)
    {
        net::http_response made;
        made.status = status;
        made.body = body;
        return made;
    }
};

TEST(kv_adapter, a_missing_key_is_not_an_error)
{
    const auto read = this->kv.parse_get_response("k", response(404, ""));
    CHECK_FALSE(read.value().exists());
    CHECK(this->kv.parse_get_response("k", response(503, "")).has_error());
    CHECK(this->kv.parse_get_response("k", response(200, "{")).has_error());
}

TEST(kv_adapter, parses_an_item)
{
    const auto read = this->kv.parse_get_response(
        "k", response(200, R"({"key":"k","value":"bm9kZS0x","revision":412,
                            "createRev":412,"lease":0,"currentRev":530})"));
    STRCMP_EQUAL("node-1", read.value().value.c_str());
    CHECK_EQUAL(412, read.value().revision.count());
}

// Guards against taking the response to another read for this one's.
TEST(kv_adapter, an_item_of_another_key_is_an_error)
{
    CHECK(this->kv
              .parse_get_response(
                  "k", response(200, R"({"key":"l","value":"","revision":4})"))
              .has_error());
}

TEST(kv_adapter, requests_stale_reads_only_where_allowed)
{
    CHECK(this->kv.get_request("a/b c", read_freshness::may_be_stale)
              .target.find("serializable=1") != std::string::npos);
    const std::string latest =
        this->kv.get_request("a/b c", read_freshness::latest).target;
    CHECK(latest.find("serializable") == std::string::npos);
    CHECK(latest.find(' ') == std::string::npos);
}

TEST(kv_adapter, parses_changes_and_lost_history)
{
    CHECK(
        this->kv.parse_watch_response(response(410, "")).value().history_lost);
    const auto read = this->kv.parse_watch_response(
        response(200, R"({"events":[{"key":"a","value":"","revision":3},
                 {"key":"b","revision":4,"deleted":true}],"currentRev":4})"));
    CHECK_EQUAL(2, read.value().changes.size());
    CHECK(read.value().changes[1].deleted);
    CHECK_EQUAL(4, read.value().read_revision.count());
}

TEST(kv_adapter, a_conflict_returns_the_current_records)
{
    key_value::record_transaction change;
    change.conditions = {{"a", store_revision(1)}, {"b", store_revision()}};
    const auto read = this->kv.parse_commit_response(
        change,
        response(412, R"({"items":[{"key":"a","value":"","revision":2}]})"));
    CHECK_FALSE(read.value().applied);
    CHECK_EQUAL(2, read.value().current.size());
    CHECK_EQUAL(2, read.value().current[0].revision.count());
    CHECK_FALSE(read.value().current[1].exists());
}

TEST(kv_adapter, an_unreadable_commit_response_leaves_the_outcome_unknown)
{
    const auto read = this->kv.parse_commit_response({}, response(200, "{"));
    CHECK(read.has_error());
    CHECK(read.error().ran == ran_state::unknown);
}

TEST(kv_adapter, survives_random_bytes)
{
    const std::string good =
        R"({"items":[{"key":"a","value":"bm9kZS0x","revision":2}],)"
        R"("truncated":false,"currentRev":530})";
    std::mt19937 random(13);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = good;
        text[random() % text.size()] = static_cast<char>(random() % 256);
        (void)this->kv.parse_list_response(response(200, text.c_str()));
        (void)this->kv.parse_watch_response(response(200, text.c_str()));
        (void)this->kv.parse_get_response("a", response(200, text.c_str()));
    }
}
