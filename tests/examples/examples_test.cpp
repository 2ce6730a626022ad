#include "platform/configuration_decoder.hpp"
#include "settings/settings_loader.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace parsleytrack;

namespace
{

namespace fs = std::filesystem;

const fs::path examples = EXAMPLES_FOLDER;

/// Calls `check` for every file with the extension whose direct parent folder
/// has the given name.
///
/// \returns The number of files checked.
template <class Check>
int check_files(const char* folder, const char* extension, Check check)
{
    int files = 0;
    for (const auto& entry : fs::recursive_directory_iterator(examples))
    {
        const fs::path& path = entry.path();
        if (path.extension() == extension &&
            path.parent_path().filename() == folder)
        {
            files += 1;
            check(path);
        }
    }
    return files;
}

void check_settings(const fs::path& path)
{
    const auto outcome = settings::load_settings(path.string());
    if (const auto* problems = std::get_if<findings>(&outcome))
    {
        FAIL((path.string() + ": " + problems->front().message).c_str());
    }
}

} // namespace

TEST_GROUP(examples){};

TEST(examples, settings_are_valid)
{
    LONGS_EQUAL(6, check_files("demo", ".json", check_settings));
    LONGS_EQUAL(12, check_files("fleet", ".json", check_settings));
}

TEST(examples, batch_jobs_have_complete_items_with_unique_ids)
{
    const auto check = [](const fs::path& path)
    {
        std::ifstream input(path);
        std::set<std::string> ids;
        int items = 0;
        for (std::string line; std::getline(input, line); ++items)
        {
            const auto item = nlohmann::json::parse(line);
            ids.insert(item.at("custom_id").get<std::string>());
            CHECK(item.at("url") == "/v1/chat/completions");
            CHECK(!item.at("body").at("messages").empty());
        }
        LONGS_EQUAL(12, items);
        LONGS_EQUAL(items, ids.size());
    };
    LONGS_EQUAL(2, check_files("batch", ".jsonl", check));
}

// Guards against an example whose workspaces nodes would leave out, and against
// one that no longer shows the kinds of limits.
TEST(examples, configurations_with_workspaces_are_accepted_as_a_whole)
{
    const auto check = [](const fs::path& path)
    {
        std::ifstream input(path);
        const std::string text{std::istreambuf_iterator<char>(input), {}};
        const auto read = platform::decode_configuration(text);
        CHECK(read.has_value());
        const auto& directory = read.value().workspaces;
        CHECK(directory.problems().empty());
        const auto document = nlohmann::json::parse(text);
        LONGS_EQUAL(document.at("routes").size(), read.value().routes.size());
        LONGS_EQUAL(document.at("tenants").size(), directory.size());
        int limited = 0;
        int prioritised = 0;
        for (const auto& workspace : directory.all())
        {
            CHECK(directory.key_count_of(workspace.name) > 0);
            limited += workspace.limit.is_limited() ? 1 : 0;
            prioritised += workspace.priority ? 1 : 0;
        }
        LONGS_EQUAL(3, limited);
        LONGS_EQUAL(2, prioritised);
    };
    LONGS_EQUAL(1, check_files("workspaces", ".json", check));
}
