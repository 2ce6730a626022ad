#include "routing/replica_registry.hpp"

#include <CppUTest/TestHarness.h>

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
    this->registry.mark_leaving(replica_id("a"));
    this->registry.update(entry("a", 1));
    CHECK_EQUAL(0, this->usable());
    this->registry.update(entry("a", 2));
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
