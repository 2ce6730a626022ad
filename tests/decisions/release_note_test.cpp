#include "decisions/release_application.hpp"
#include "decisions/release_note_parser.hpp"
#include "units/random_source.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace parsleytrack;

namespace
{

const std::string good_note = R"({"note_id":"spring-menu",
 "added":[{"kind":"model","name":"rota-llm","version":"3","service":"rota"},
          {"kind":"adapter","name":"gelato","version":"1","model":"rota-llm"}],
 "changed":[],"withdrawn":[]})";

std::vector<std::string> places(const std::string& text)
{
    std::vector<std::string> found;
    const auto parsed = parse_release_note(text);
    if (const auto* problems = std::get_if<findings>(&parsed))
    {
        for (const finding& problem : *problems)
        {
            found.push_back(problem.location);
        }
    }
    return found;
}

bool has(const std::vector<std::string>& all, const std::string& wanted)
{
    return std::find(all.begin(), all.end(), wanted) != all.end();
}

release_note note_of(const std::string& text)
{
    return std::get<release_note>(parse_release_note(text));
}

catalogue apply(const catalogue& base, const std::string& text)
{
    return std::get<catalogue>(apply_release_note(base, note_of(text), {}));
}

findings refusals(const catalogue& base, const std::string& text,
                  const std::set<service_name>& services = {})
{
    return std::get<findings>(
        apply_release_note(base, note_of(text), services));
}

} // namespace

TEST_GROUP(release_note){};

TEST(release_note, all_findings_come_together_with_their_places)
{
    const auto found = places(R"({"added":[{"kind":"modell","name":"",
        "version":3,"service":"s"},7],"changed":{},"wit/hdrawn":[]})");
    CHECK(has(found, "/note_id"));
    CHECK(has(found, "/added/0/kind"));
    CHECK(has(found, "/added/0/name"));
    CHECK(has(found, "/added/0/version"));
    CHECK(has(found, "/added/1"));
    CHECK(has(found, "/changed"));
    CHECK(has(found, "/wit~1hdrawn"));
    LONGS_EQUAL(7, found.size());
    LONGS_EQUAL(1, places("{").size());
    LONGS_EQUAL(1, places(R"({"note_id":"x"})").size());
}

TEST(release_note, is_applied_in_the_order_withdrawn_changed_added)
{
    const catalogue first = apply({}, good_note);
    LONGS_EQUAL(1, first.version.count());
    const catalogue next = apply(first, R"({"note_id":"n2",
        "withdrawn":[{"kind":"model","name":"rota-llm"}],
        "added":[{"kind":"model","name":"rota-llm","version":"4",
                  "service":"rota"}]})");
    CHECK(next.models.at(model_name("rota-llm")).versions ==
          std::set<std::string>{"4"});
    const auto lines = differences(first, next);
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("changed model rota-llm from rota: 3 to rota: 4",
                 lines[0].c_str());
}

TEST(release_note, an_adapter_needs_its_model)
{
    const catalogue base = apply({}, good_note);
    const findings found = refusals(base, R"({"note_id":"n2","withdrawn":[
        {"kind":"model","name":"rota-llm"}]})");
    LONGS_EQUAL(1, found.size());
    STRCMP_EQUAL("/withdrawn/0", found[0].location.c_str());
}

TEST(release_note, refuses_what_does_not_fit_the_catalogue)
{
    const catalogue base = apply({}, good_note);
    const findings found = refusals(base, R"({"note_id":"n2",
        "added":[{"kind":"model","name":"rota-llm","version":"3",
                  "service":"rota"},
                 {"kind":"model","name":"gelato","version":"3",
                  "service":"other"}],
        "changed":[{"kind":"adapter","name":"none","version":"1",
                    "model":"rota-llm"}]})",
                                    {service_name("rota")});
    LONGS_EQUAL(4, found.size());
    STRCMP_EQUAL("/changed/0/name", found[0].location.c_str());
    STRCMP_EQUAL("/added/0/version", found[1].location.c_str());
    STRCMP_EQUAL("/added/1/service", found[2].location.c_str());
    STRCMP_EQUAL("/added/1/name", found[3].location.c_str());
}

TEST(release_note, damaged_notes_are_refused_or_read_but_never_crash)
{
    random_source random(41);
    const std::string pieces[] = {
        "{",     "}",       "[",    "]",         "\"",        ":",  ",", "null",
        "1e999", "\\u0000", "\xff", "\"added\"", "\"model\"", "-0", "  "};
    int valid = 0;
    for (int round = 0; round < 60'000; ++round)
    {
        std::string text = good_note;
        const std::uint64_t edits = 1 + random() % 6;
        for (std::uint64_t edit = 0; edit < edits && !text.empty(); ++edit)
        {
            const std::size_t at = random() % text.size();
            switch (random() % 4)
            {
            case 0:
                text.erase(at, 1 + random() % 12);
                break;
            case 1:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 2:
                text.insert(at, pieces[random() % std::size(pieces)]);
                break;
            default:
                text.insert(at,
                            text.substr(random() % text.size(), random() % 40));
            }
        }
        const auto parsed = parse_release_note(text);
        if (const auto* note = std::get_if<release_note>(&parsed))
        {
            ++valid;
            CHECK(!note->id.empty());
            apply_release_note({}, *note, {});
            continue;
        }
        CHECK(!std::get<findings>(parsed).empty());
    }
    CHECK(valid > 500);
    CHECK(valid < 55'000);
    LONGS_EQUAL(1, places(std::string(200'000, '[')).size());
}
