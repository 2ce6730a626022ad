#include "workspaces/caller_access.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::workspaces;

namespace
{

using outcome = caller_access::outcome;

workspace_directory one_workspace()
{
    workspace entry;
    entry.name = workspace_name("a");
    entry.keys = {"k1"};
    return workspace_directory({entry});
}

} // namespace

TEST_GROUP(caller_access)
{
    const workspace_directory directory = one_workspace();
};

TEST(caller_access, without_workspaces_nobody_needs_a_key)
{
    const auto access = check_access(workspace_directory(), std::nullopt, false,
                                     configuration_state::expired);
    CHECK(access.result == outcome::granted);
    CHECK(access.owner == nullptr);
}

TEST(caller_access, a_key_gives_its_workspace)
{
    const auto access = check_access(this->directory, "k1", false,
                                     configuration_state::confirmed);
    CHECK(access.result == outcome::granted);
    CHECK(access.owner->name == workspace_name("a"));
}

TEST(caller_access, unknown_and_missing_keys_are_denied)
{
    CHECK(check_access(this->directory, "k2", false,
                       configuration_state::confirmed)
              .result == outcome::denied);
    CHECK(check_access(this->directory, std::nullopt, false,
                       configuration_state::confirmed)
              .result == outcome::denied);
}

TEST(caller_access, public_routes_need_no_key)
{
    const auto access =
        check_access(this->directory, "k2", true, configuration_state::expired);
    CHECK(access.result == outcome::granted);
    CHECK(access.owner == nullptr);
}

// Guards against a final refusal of a key that was added while this node could
// not learn of it.
TEST(caller_access, an_outdated_node_does_not_deny_unknown_keys)
{
    CHECK(check_access(this->directory, "k2", false,
                       configuration_state::outdated)
              .result == outcome::unknown);
    CHECK(check_access(this->directory, "k1", false,
                       configuration_state::outdated)
              .result == outcome::granted);
}

// Guards against a key in use that was taken away while this node could not
// learn of it, where operators ask for that.
TEST(caller_access, an_expired_configuration_lets_no_key_in)
{
    CHECK(
        check_access(this->directory, "k1", false, configuration_state::expired)
            .result == outcome::unknown);
}
