#include "routing/version_history.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(version_history)
{
    version_history history;
    time_point now{std::chrono::seconds(100)};
    const service_name service{"llm"};

    /// Lists one replica for each version.
    void observe(const std::set<std::string>& versions)
    {
        std::map<replica_id, replica_entry> listed;
        for (const std::string& version : versions)
        {
            replica_entry& entry = listed[replica_id("i-" + version)];
            entry.service = this->service;
            entry.version = software_version(version);
        }
        this->history.observe(listed, this->now);
    }

    std::size_t versions_within(duration span) const
    {
        return this->history.versions_since(this->service, this->now - span)
            .size();
    }
};

// Guards against taking the version that is left for the only one there was: a
// stream may have begun at the other before that left.
TEST(version_history, a_version_counts_for_some_time_after_it_has_left)
{
    this->observe({"v1"});
    this->now += std::chrono::seconds(10);
    this->observe({"v1", "v2"});
    CHECK_EQUAL(2, this->versions_within(std::chrono::seconds(1)));
    this->now += std::chrono::seconds(10);
    this->observe({"v2"});
    this->now += std::chrono::seconds(4);
    CHECK_EQUAL(2, this->versions_within(std::chrono::seconds(5)));
    this->now += std::chrono::seconds(2);
    CHECK_EQUAL(1, this->versions_within(std::chrono::seconds(5)));
}

// Guards against a node that has just started and takes what it sees for all
// there was.
TEST(version_history, nothing_is_known_of_the_time_before_the_first_list)
{
    CHECK_FALSE(this->history.covers(this->now));
    this->observe({"v1"});
    this->now += std::chrono::seconds(5);
    CHECK(this->history.covers(this->now - std::chrono::seconds(5)));
    CHECK_FALSE(this->history.covers(this->now - std::chrono::seconds(6)));
}

TEST(version_history, services_have_their_own_versions)
{
    this->observe({"v1", "v2"});
    CHECK(this->history.versions_since(service_name("web"), time_point())
              .empty());
}
