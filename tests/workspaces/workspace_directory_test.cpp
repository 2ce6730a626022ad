#include "workspaces/workspace_directory.hpp"

#include "workspaces/key_digest.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::workspaces;

namespace
{

workspace make_workspace(const std::string& name, std::vector<std::string> keys)
{
    workspace made;
    made.name = workspace_name(name);
    made.keys = std::move(keys);
    return made;
}

} // namespace

TEST_GROUP(workspace_directory){};

TEST(workspace_directory, finds_workspaces_by_key_and_by_name)
{
    const workspace_directory directory(
        {make_workspace("a", {"k1", "k2"}), make_workspace("b", {"k3"})});
    CHECK_FALSE(directory.empty());
    CHECK(directory.find_by_key("k2")->name == workspace_name("a"));
    CHECK(directory.find_by_key("k3")->name == workspace_name("b"));
    CHECK(directory.find_by_key("k4") == nullptr);
    CHECK(directory.find(workspace_name("b")) != nullptr);
    CHECK(directory.find(workspace_name("c")) == nullptr);
    CHECK_EQUAL(2, directory.key_count_of(workspace_name("a")));
    CHECK_EQUAL(0, directory.key_count_of(workspace_name("c")));
}

// Guards against requests that run for the wrong workspace.
TEST(workspace_directory, a_key_of_two_workspaces_belongs_to_none)
{
    const workspace_directory directory({make_workspace("a", {"secret", "k1"}),
                                         make_workspace("b", {"secret"}),
                                         make_workspace("c", {"secret"})});
    CHECK(directory.find_by_key("secret") == nullptr);
    CHECK(directory.find_by_key("k1") != nullptr);
    CHECK_EQUAL(1, directory.problems().size());
    CHECK_EQUAL(1, directory.key_count_of(workspace_name("a")));
    CHECK_EQUAL(0, directory.key_count_of(workspace_name("b")));
    CHECK_EQUAL(0, directory.key_count_of(workspace_name("c")));
}

// Guards against keys in logs.
TEST(workspace_directory, problems_name_no_key)
{
    const workspace_directory directory({make_workspace("a", {"secret", ""}),
                                         make_workspace("b", {"secret"}),
                                         make_workspace("c", {})});
    CHECK_EQUAL(3, directory.problems().size());
    for (const std::string& problem : directory.problems())
    {
        CHECK(problem.find("secret") == std::string::npos);
    }
}

// Guards against a node that lets everybody in because no workspace could be
// read.
TEST(workspace_directory, needs_keys_when_no_workspace_can_be_used)
{
    CHECK(workspace_directory().empty());
    CHECK_FALSE(workspace_directory({}, {"a workspace has no name"}).empty());
}

TEST(workspace_directory, takes_a_hundred_thousand_keys)
{
    constexpr int count = 100'000;
    std::vector<std::string> keys;
    for (int number = 0; number < count; ++number)
    {
        keys.push_back("key-" + std::to_string(number));
    }
    const workspace_directory directory({make_workspace("a", keys)});
    CHECK_EQUAL(count, directory.key_count());
    CHECK(directory.find_by_key("key-99999") != nullptr);
}

TEST(workspace_directory, the_first_of_two_workspaces_of_one_name_counts)
{
    const workspace_directory directory(
        {make_workspace("a", {"k1"}), make_workspace("a", {"k2"})});
    CHECK_EQUAL(1, directory.size());
    CHECK(directory.find_by_key("k1") != nullptr);
    CHECK(directory.find_by_key("k2") == nullptr);
}
