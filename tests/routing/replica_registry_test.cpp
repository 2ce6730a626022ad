#include "routing/replica_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(replica_registry)
{
    replica_registry registry;
    time_point now;
    const service_name service{"s"};

    static replica_entry entry(const char* id, std::int64_t started = 1)
    {
        replica_entry made;
        made.id = replica_id(id);
        made.service = service_name("s");
        made.address = endpoint{"10.0.0.1", 80};
        made.started_at_ms = started;
        return made;
    }

    static std::map<replica_id, replica_entry> listing(
        const std::vector<replica_entry>& entries)
    {
        std::map<replica_id, replica_entry> listed;
        for (const replica_entry& made : entries)
        {
            listed.emplace(made.id, made);
        }
        return listed;
    }

    std::size_t usable() const
    {
        return this->registry.usable(service).size();
    }
};

TEST(replica_registry, a_draining_or_removed_replica_is_not_used)
{
    this->registry.replace_all(listing({entry("a"), entry("b")}), false, now);
    CHECK_EQUAL(2, this->usable());
    replica_entry leaving = entry("a");
    leaving.draining = true;
    this->registry.update(leaving);
    CHECK_EQUAL(1, this->usable());
    this->registry.remove(replica_id("b"), now);
    CHECK_EQUAL(0, this->usable());
}

TEST(replica_registry, a_leaving_mark_holds_until_the_replica_restarts)
{
    this->registry.update(entry("a", 1));
    CHECK(this->registry.mark_leaving(process_of(entry("a", 1))));
    CHECK_FALSE(this->registry.mark_leaving(process_of(entry("a", 1))));
    this->registry.update(entry("a", 1));
    CHECK_EQUAL(0, this->usable());
    this->registry.update(entry("a", 2));
    CHECK_EQUAL(1, this->usable());
}

// Guards against using a replica again that has left, because an old listing or
// a lagging node brings its entry back.
TEST(replica_registry, a_leaving_mark_outlives_the_entry)
{
    this->registry.update(entry("a", 2));
    this->registry.mark_leaving(process_of(entry("a", 2)));
    this->registry.remove(replica_id("a"), this->now);
    this->registry.replace_all(listing({entry("a", 2)}), false, this->now);
    CHECK_EQUAL(0, this->usable());
    // A process that started since is another one.
    this->registry.update(entry("a", 3));
    CHECK_EQUAL(1, this->usable());
    this->registry.update(entry("a", 2));
    CHECK_EQUAL(0, this->usable());
}

TEST(replica_registry, a_process_may_be_marked_before_it_is_listed)
{
    this->registry.mark_leaving(process_of(entry("a")));
    this->registry.replace_all(listing({entry("a"), entry("b")}), false,
                               this->now);
    CHECK_EQUAL(1, this->usable());
}

TEST(replica_registry, the_number_of_leaving_marks_is_bounded)
{
    const std::size_t limit = replica_registry::max_leaving_marks;
    for (std::size_t count = 0; count <= limit; ++count)
    {
        const std::string id = "r" + std::to_string(count);
        this->registry.mark_leaving(process_of(entry(id.c_str())));
    }
    // Only the oldest mark was dropped.
    this->registry.update(entry("r0"));
    this->registry.update(entry("r1"));
    CHECK_EQUAL(1, this->usable());
}

TEST(replica_registry, entries_survive_a_store_outage_and_the_grace_period)
{
    this->registry.replace_all(listing({entry("a"), entry("b")}), false, now);
    this->registry.mark_store_unreachable();
    this->now += std::chrono::seconds(30);
    CHECK(this->registry.expire(now).empty());
    CHECK_EQUAL(2, this->usable());
    // The store is back, but the entries have expired.
    this->registry.replace_all({}, true, now);
    CHECK_EQUAL(2, this->usable());
    this->now += std::chrono::seconds(2);
    this->registry.update(entry("a"));
    CHECK(this->registry.expire(now).empty());
    this->now += std::chrono::milliseconds(300);
    CHECK_EQUAL(1, this->registry.expire(now).size());
    CHECK_EQUAL(1, this->usable());
    CHECK(this->registry.find_usable(replica_id("a")) != nullptr);
}

TEST(replica_registry, a_listing_without_an_outage_removes_at_once)
{
    this->registry.replace_all(listing({entry("a"), entry("b")}), false, now);
    this->registry.replace_all(listing({entry("b")}), false, now);
    CHECK_EQUAL(1, this->usable());
}

TEST(replica_registry, each_change_changes_the_generation)
{
    const auto before = this->registry.generation();
    this->registry.update(entry("a"));
    CHECK(this->registry.generation() != before);
}
