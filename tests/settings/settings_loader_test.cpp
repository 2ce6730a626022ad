#include "settings/settings_loader.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace parsleytrack;
using namespace parsleytrack::settings;

namespace
{

const char* const valid_document = R"({
  // One entry node of the rota service.
  "node": {"id": "entry-1", "region": "qc-east",
           "availability_zone": "qc-east-a"},
  "listen": {"host": "127.0.0.1", "http_port": 0, "peer_port": 0},
  "store": {"addresses": ["127.0.0.1:2379"]},
  "services": [{"name": "rota-llm", "kind": "engine", "slots": 8,
    "replicas": [{"id": "r1", "address": "127.0.0.1:9000",
                  "availability_zone": "qc-east-a"}]}]
})";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = valid_document;
    text.replace(text.find(from), from.size(), to);
    return text;
}

findings problems_of(const std::string& text)
{
    const load_outcome outcome = parse_settings(text, "test.json");
    const auto* problems = std::get_if<findings>(&outcome);
    return problems == nullptr ? findings{} : *problems;
}

void check_one_problem(const std::string& text, const char* location)
{
    const findings problems = problems_of(text);
    LONGS_EQUAL(1, problems.size());
    STRCMP_CONTAINS(location, problems.front().location.c_str());
}

} // namespace

TEST_GROUP(settings_loader){};

TEST(settings_loader, reads_a_valid_document_with_comments)
{
    const load_outcome outcome = parse_settings(valid_document, "test.json");
    const auto& settings = std::get<node_settings>(outcome);
    STRCMP_EQUAL("entry-1", settings.id.str().c_str());
    LONGS_EQUAL(9000, settings.services.at(0).replicas.at(0).address.port);
    CHECK(!settings.is_keeper());
}

TEST(settings_loader, reports_several_findings_at_once)
{
    std::string text = replaced("\"slots\": 8", "\"slots\": -1, \"slot\": 2");
    text.replace(text.find("127.0.0.1:2379"), 14, "store.local:x ");
    const findings problems = problems_of(text);
    CHECK(problems.size() >= 3);
}

TEST(settings_loader, an_unknown_field_is_a_finding)
{
    check_one_problem(
        replaced("\"id\": \"entry-1\"", "\"id\": \"entry-1\", \"colour\": 1"),
        "/node/colour");
}

TEST(settings_loader, a_repeated_field_is_a_finding)
{
    check_one_problem(replaced("\"slots\": 8", "\"slots\": 8, \"slots\": 9"),
                      "test.json");
}

TEST(settings_loader, the_same_field_in_two_objects_is_allowed)
{
    const std::string second =
        R"({"id": "r1", "address": "127.0.0.1:9001",
            "availability_zone": "qc-east-b"}, {"id": "r2",)";
    CHECK(problems_of(replaced("{\"id\": \"r1\",", second)).empty());
}

TEST(settings_loader, a_syntax_error_reports_its_line)
{
    check_one_problem(replaced("\"store\":", "\"store\""), "test.json:6");
}

TEST(settings_loader, a_reserve_larger_than_the_slots_is_a_finding)
{
    check_one_problem(
        replaced("\"slots\": 8", "\"slots\": 8, \"online_reserve\": 9"),
        "/services/0/online_reserve");
}

TEST(settings_loader, an_unreadable_file_is_a_finding)
{
    const load_outcome outcome = load_settings("/nonexistent/settings.json");
    LONGS_EQUAL(1, std::get<findings>(outcome).size());
}

TEST(settings_loader, survives_damaged_documents)
{
    constexpr std::uint64_t seed = 11;
    constexpr int rounds = 20'000;
    std::mt19937_64 random(seed);
    const std::string original = valid_document;
    for (int round = 0; round < rounds; ++round)
    {
        std::string text = original;
        const int edits = 1 + static_cast<int>(random() % 4);
        for (int edit = 0; edit < edits; ++edit)
        {
            const std::size_t position = random() % text.size();
            const std::size_t length = random() % 6;
            const char filler = static_cast<char>(random() % 256);
            text.replace(position, length, 1, filler);
        }
        parse_settings(text, "damaged.json");
    }
    parse_settings(std::string(1'000'000, '['), "deep.json");
}
