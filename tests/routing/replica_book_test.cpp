#include "routing/replica_book.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(replica_book)
{
    replica_book book;
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
        return this->book.usable(service).size();
    }
};

TEST(replica_book, a_draining_or_removed_replica_is_not_used)
{
    this->book.replace_all(listing({entry("a"), entry("b")}), false, now);
    CHECK_EQUAL(2, this->usable());
    replica_entry leaving = entry("a");
    leaving.draining = true;
    this->book.update(leaving);
    CHECK_EQUAL(1, this->usable());
    this->book.remove(replica_id("b"), now);
    CHECK_EQUAL(0, this->usable());
}

TEST(replica_book, a_word_of_leaving_holds_for_one_life)
{
    this->book.update(entry("a", 1));
    this->book.mark_leaving(replica_id("a"));
    this->book.update(entry("a", 1));
    CHECK_EQUAL(0, this->usable());
    this->book.update(entry("a", 2));
    CHECK_EQUAL(1, this->usable());
}

TEST(replica_book, entries_outlast_an_outage_and_the_time_to_come_back)
{
    this->book.replace_all(listing({entry("a"), entry("b")}), false, now);
    this->book.store_lost();
    this->now += std::chrono::seconds(30);
    CHECK(this->book.expire(now).empty());
    CHECK_EQUAL(2, this->usable());
    // Back, with lapsed entries.
    this->book.replace_all({}, true, now);
    CHECK_EQUAL(2, this->usable());
    this->now += std::chrono::seconds(2);
    this->book.update(entry("a"));
    CHECK(this->book.expire(now).empty());
    this->now += std::chrono::milliseconds(300);
    CHECK_EQUAL(1, this->book.expire(now).size());
    CHECK_EQUAL(1, this->usable());
    CHECK(this->book.find_usable(replica_id("a")) != nullptr);
}

TEST(replica_book, a_listing_in_calm_times_removes_at_once)
{
    this->book.replace_all(listing({entry("a"), entry("b")}), false, now);
    this->book.replace_all(listing({entry("b")}), false, now);
    CHECK_EQUAL(1, this->usable());
}

TEST(replica_book, each_change_shows_in_the_generation)
{
    const auto before = this->book.generation();
    this->book.update(entry("a"));
    CHECK(this->book.generation() != before);
}
