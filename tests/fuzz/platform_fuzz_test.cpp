#include "fuzz/mutation.hpp"
#include "jobs/job_codec.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/job_translation.hpp"
#include "platform/kv_adapter.hpp"
#include "platform/replica_decoder.hpp"
#include "relay/event_splitter.hpp"
#include "relay/slot_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

constexpr int rounds = 20'000;

constexpr const char* configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"s1","maxAttempts":2,
  "resumable":true},{"name":"r2","host":"h","prefix":"/b/","kind":"unsafe",
  "trafficSplit":[{"service":"s1","weight":90}],"maxAttempts":1}],
 "services":[{"name":"s1","maxConns":290,"engine":{"slots":8}}],
 "limits":{"maxHeaderBytes":16384,"idleTimeoutMs":15000}})";

constexpr const char* replica = R"({"service":"llm","address":"10.0.0.1:80",
 "zone":"z","version":"v","slots":8,"state":"ready","seq":4,"born":17})";

constexpr const char* submission = R"({"items":[{"id":"a","path":"/b/1",
 "headers":{"A":"b"},"body":"q83vEjRWeJA=","tokens":940}]})";

constexpr std::array store_answers = {
    R"({"key":"k","value":"bm9kZS0x","revision":412,"currentRev":530})",
    R"({"items":[{"key":"k","value":"bm9k","revision":4}],"truncated":true,
        "currentRev":530})",
    R"({"events":[{"key":"a","value":"","revision":3},
        {"key":"b","revision":4,"deleted":true}],"currentRev":4})"};

net::http_response response(int status, std::string body)
{
    net::http_response made;
    made.status = status;
    made.body = std::move(body);
    return made;
}

} // namespace

TEST_GROUP(platform_fuzz)
{
    random_source random{20260103};
};

TEST(platform_fuzz, the_sound_texts_can_be_read)
{
    CHECK(decode_configuration(configuration).has_value());
    CHECK(decode_replica(replica_id("i"), replica).has_value());
    CHECK(decode_submission(submission).has_value());
}

TEST(platform_fuzz, damaged_documents_do_no_harm)
{
    for (int round = 0; round < rounds; ++round)
    {
        (void)decode_configuration(damaged(configuration, this->random));
        (void)decode_replica(replica_id("i"), damaged(replica, this->random));
        (void)decode_submission(damaged(submission, this->random));
        const std::string bytes = random_bytes(this->random, 300);
        (void)decode_configuration(bytes);
        (void)decode_replica(replica_id("i"), bytes);
        (void)decode_submission(bytes);
    }
}

TEST(platform_fuzz, damaged_answers_of_the_store_do_no_harm)
{
    const kv_adapter kv;
    for (int round = 0; round < rounds; ++round)
    {
        const auto answer = response(
            this->random() % 4 == 0 ? 412 : 200,
            damaged(store_answers.at(this->random() % 3), this->random));
        (void)kv.parse_get_response("k", answer);
        (void)kv.parse_list_response(answer);
        (void)kv.parse_watch_response(answer);
        (void)kv.parse_commit_response({}, answer);
    }
}

TEST(platform_fuzz, damaged_records_and_messages_do_no_harm)
{
    jobs::job_input input;
    input.items.push_back(jobs::job_item{"a", "/b", {{"A", "b"}}, "body", {}});
    const std::string record = jobs::encode(input);
    relay::slot_request request;
    request.request = request_id("r");
    request.excluded.insert(replica_id("i"));
    const std::string message = relay::encode(request);
    for (int round = 0; round < rounds; ++round)
    {
        const std::string bytes = damaged(record, this->random);
        (void)jobs::decode_input(bytes);
        (void)jobs::decode_state(bytes);
        (void)jobs::decode_usage(bytes);
        (void)jobs::decode_page(bytes);
        (void)jobs::decode_progress(bytes);
        const std::string call = damaged(message, this->random);
        (void)relay::decode_slot_request(call);
        (void)relay::decode_slot_response(call, time_point());
        (void)relay::decode_replica_report(call, time_point());
    }
}

TEST(platform_fuzz, a_stream_gives_the_same_events_however_it_is_cut)
{
    std::string stream;
    for (int number = 1; number <= 30; ++number)
    {
        stream += "id: " + std::to_string(number) +
                  "\ndata: " + std::string(this->random() % 40, 'x') + "\n\n";
    }
    for (int round = 0; round < 200; ++round)
    {
        relay::event_splitter splitter;
        std::string joined;
        std::size_t begin = 0;
        while (begin < stream.size())
        {
            const std::size_t length = 1 + this->random() % 50;
            for (const auto& event :
                 splitter.feed(std::string_view(stream).substr(begin, length)))
            {
                joined += event.raw;
            }
            begin += length;
        }
        CHECK(joined == stream);
        CHECK_FALSE(splitter.has_partial_event());
    }
    for (int round = 0; round < rounds; ++round)
    {
        relay::event_splitter splitter;
        (void)splitter.feed(damaged(stream.substr(0, 200), this->random));
        (void)splitter.feed(random_bytes(this->random, 100));
    }
}
