#include "platform/job_translation.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

const std::string good =
    R"({"items":[{"id":"e5","path":"/p/3","headers":{"A":"m","B":"1,2"},)"
    R"("body":"q83vEjRWeJA=","tokens":940}]})";

} // namespace

TEST_GROUP(job_translation){
    static net::http_request_head head(const char* method, const char* path){
        net::http_request_head made;
made.method = method;
made.path = path;
return made;
}
}
;

TEST(job_translation, decodes_a_submission)
{
    const auto items = decode_submission(good);
    CHECK_EQUAL(1, items.value().size());
    const jobs::job_item& item = items.value()[0];
    STRCMP_EQUAL("/p/3", item.target.c_str());
    CHECK_EQUAL(8, item.body.size());
    CHECK_EQUAL(940, item.tokens.count());
    CHECK_EQUAL(2, item.headers.size());
}

TEST(job_translation, rejects_invalid_submissions)
{
    for (const char* text :
         {"", "{}", R"({"items":[]})", R"({"items":[{}]})",
          R"({"items":[{"id":"a","path":"/p","body":"???"}]})",
          R"({"items":[{"id":1,"path":"/p","body":""}]})"})
    {
        const auto items = decode_submission(text);
        CHECK(items.has_error());
        CHECK(items.error().code == error_code::bad_request);
    }
    std::string many = R"({"items":[)";
    for (int count = 0; count < 201; ++count)
    {
        many += R"({"id":"a","path":"/p","body":""},)";
    }
    many.back() = ']';
    CHECK(decode_submission(many + "}").has_error());
}

// Guards against a document whose values take many times the memory of its
// text.
TEST(job_translation, rejects_a_submission_of_too_many_values)
{
    const auto with_extra = [](const std::string& extra)
    {
        std::string text = good;
        return text.insert(1, "\"other\":" + extra + ",");
    };
    const auto values = [](const std::string& value, std::size_t count)
    {
        std::string list = "[" + value;
        for (std::size_t number = 1; number < count; ++number)
        {
            list += "," + value;
        }
        return list + "]";
    };
    CHECK(decode_submission(with_extra(values("0", 60'000))).has_value());
    CHECK(decode_submission(with_extra(values("0", 70'000))).has_error());
    CHECK(decode_submission(with_extra(values("[]", 35'000))).has_error());
    // What stands in strings is no value.
    const std::string text = "\"" + std::string(100'000, ',') + "\\\"[{\"";
    CHECK(decode_submission(with_extra(text)).has_value());
}

TEST(job_translation, decodes_job_calls)
{
    net::http_request_head read = head("GET", "/v1/lots/7c");
    read.query["after"] = "12";
    const auto results = decode_job_call(read);
    CHECK(results->requested == relay::job_call::operation::read_results);
    CHECK_EQUAL(12, results->after);
    STRCMP_EQUAL("7c", results->job.str().c_str());
    CHECK(decode_job_call(head("DELETE", "/v1/lots/7c"))->requested ==
          relay::job_call::operation::cancel);
    CHECK_FALSE(decode_job_call(head("POST", "/v1/lots/7c")).has_value());
    CHECK_FALSE(decode_job_call(head("GET", "/v1/items/7c")).has_value());
    net::http_request_head body = head("GET", "/v1/items/7c");
    body.query["id"] = "e5";
    STRCMP_EQUAL("e5", decode_job_call(body)->item.c_str());
    CHECK_FALSE(decode_job_call(head("GET", "/other/")).has_value());
}

TEST(job_translation, survives_random_bytes)
{
    std::mt19937 random(12);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = good;
        for (unsigned count = random() % 4 + 1; count > 0; --count)
        {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        (void)decode_submission(text);
    }
}
