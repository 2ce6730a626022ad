#include "feeds/merged_records.hpp"

#include "units/random_source.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::feeds;
using key_value::record_change;
using key_value::record_listing;
using key_value::stored_record;

namespace
{

record_change change(const char* key, std::int64_t revision,
                     bool deleted = false)
{
    return {
        stored_record{key, std::to_string(revision), store_revision(revision)},
        deleted};
}

record_listing listing(const std::vector<record_change>& entries,
                       std::int64_t read_at)
{
    record_listing made;
    made.read_revision = store_revision(read_at);
    for (const record_change& entry : entries)
    {
        made.records.push_back(entry.record);
    }
    return made;
}

} // namespace

TEST_GROUP(merged_records)
{
    merged_records merged;
};

TEST(merged_records, an_older_listing_is_ignored)
{
    CHECK(
        this->merged.apply_listing(listing({change("a", 3), change("b", 5)}, 9))
            .has_value());
    CHECK_FALSE(
        this->merged.apply_listing(listing({change("a", 3)}, 4)).has_value());
    CHECK_EQUAL(2, this->merged.all().records.size());
    CHECK_EQUAL(9, this->merged.position().count());
}

TEST(merged_records, known_changes_are_not_reported_again)
{
    this->merged.apply_listing(listing({change("a", 3)}, 9));
    const auto updates = this->merged.apply_changes(
        {change("a", 8), change("b", 10), change("a", 11, true)});
    CHECK_EQUAL(2, updates.size());
    CHECK_EQUAL(1, this->merged.all().records.size());
    STRCMP_EQUAL("b", this->merged.all().records[0].key.c_str());
    CHECK_EQUAL(0, this->merged.apply_changes({change("b", 10)}).size());
}

TEST(merged_records, a_listing_reports_its_changes)
{
    this->merged.apply_listing(
        listing({change("a", 3), change("b", 5), change("c", 6)}, 9));
    const auto changes = this->merged.apply_listing(
        listing({change("a", 3), change("b", 11)}, 12));
    CHECK_EQUAL(2, changes->size());
    STRCMP_EQUAL("b", changes->at(0).record.key.c_str());
    CHECK(changes->at(1).deleted);
}

TEST(merged_records, returns_the_changes_since_a_position)
{
    this->merged.apply_listing(listing({change("a", 3), change("b", 5)}, 9));
    this->merged.apply_changes({change("a", 10, true), change("c", 11)});
    CHECK_FALSE(this->merged.changes_since(store_revision(8)).has_value());
    CHECK_EQUAL(2, this->merged.changes_since(store_revision(9))->size());
    const auto last = this->merged.changes_since(store_revision(10));
    CHECK_EQUAL(1, last->size());
    STRCMP_EQUAL("c", last->at(0).record.key.c_str());
    CHECK(this->merged.changes_since(store_revision(11))->empty());
}

TEST(merged_records, a_subscriber_converges_to_the_records_of_its_source)
{
    constexpr int rounds = 300;
    random_source random(11);
    for (int round = 0; round < rounds; ++round)
    {
        merged_records source;
        merged_records subscriber;
        const auto first = listing({change("a", 1), change("b", 2)}, 2);
        source.apply_listing(first);
        subscriber.apply_listing(first);
        for (std::int64_t revision = 3; revision < 60; ++revision)
        {
            const std::string key(1, static_cast<char>('a' + random() % 5));
            source.apply_changes(
                {change(key.c_str(), revision, random() % 3 == 0)});
            if (random() % 7 == 0)
            {
                subscriber.apply_changes(
                    *source.changes_since(subscriber.position()));
            }
        }
        subscriber.apply_changes(*source.changes_since(subscriber.position()));
        CHECK_EQUAL(source.size(), subscriber.size());
        for (std::size_t index = 0; index < source.size(); ++index)
        {
            CHECK(source.all().records[index].revision ==
                  subscriber.all().records[index].revision);
        }
    }
}

TEST(merged_records, interleaved_sources_converge_to_the_store)
{
    constexpr int rounds = 500;
    constexpr int revisions = 60;
    random_source random(7);
    for (int round = 0; round < rounds; ++round)
    {
        merged_records joined;
        std::vector<record_change> history;
        std::map<std::string, std::int64_t> store;
        std::array<std::size_t, 2> delivered{};
        for (std::int64_t revision = 1; revision <= revisions; ++revision)
        {
            const std::string key(1, static_cast<char>('a' + random() % 5));
            const bool deleted = random() % 3 == 0;
            history.push_back(change(key.c_str(), revision, deleted));
            deleted ? store.erase(key) : (store[key] = revision, 0);
            // Each source delivers the history in order, with a lag of its
            // own.
            for (std::size_t& position : delivered)
            {
                const std::size_t until =
                    position + random() % (history.size() - position + 1);
                joined.apply_changes(std::vector<record_change>(
                    history.begin() + static_cast<std::ptrdiff_t>(position),
                    history.begin() + static_cast<std::ptrdiff_t>(until)));
                position = until;
            }
        }
        for (const std::size_t position : delivered)
        {
            joined.apply_changes(std::vector<record_change>(
                history.begin() + static_cast<std::ptrdiff_t>(position),
                history.end()));
        }
        const auto all = joined.all();
        CHECK_EQUAL(store.size(), all.records.size());
        for (const stored_record& record : all.records)
        {
            CHECK_EQUAL(store.at(record.key), record.revision.count());
        }
    }
}
