#include "feeds/feed_subscription.hpp"

#include "feeds/feed_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::feeds;
using kind = feed_message::kind;

namespace
{

constexpr duration second = std::chrono::seconds(1);
const time_point start = time_point(10 * second);

feed_message message(kind what, std::optional<duration> age)
{
    return {what, {}, store_revision(5), age};
}

} // namespace

TEST_GROUP(feed_subscription){};

// Guards against a source that counts as healthy because it sends messages,
// although the store has not confirmed its records for long.
TEST(feed_subscription, messages_do_not_renew_what_the_store_has_confirmed)
{
    feed_subscription source;
    source.observe(message(kind::changes, duration::zero()), start);
    CHECK(source.is_healthy(start + second));
    for (int beat = 1; beat <= 4; ++beat)
    {
        source.observe(message(kind::unchanged, beat * second),
                       start + beat * second);
    }
    CHECK(source.confirmed_at() == start);
    CHECK_FALSE(source.is_healthy(start + 4 * second));
    source.observe(message(kind::unchanged, duration::zero()),
                   start + 5 * second);
    CHECK(source.is_healthy(start + 5 * second));
}

TEST(feed_subscription, a_source_is_unhealthy_until_it_has_sent_its_records)
{
    feed_subscription source;
    source.observe(message(kind::unchanged, duration::zero()), start);
    CHECK_FALSE(source.is_healthy(start));
    source.observe(message(kind::last_known, duration::zero()), start);
    CHECK_FALSE(source.is_healthy(start));
    source.observe(message(kind::all, duration::zero()), start);
    CHECK(source.is_healthy(start));
}

// A source of an earlier build sends no age.
TEST(feed_subscription, the_arrival_counts_where_the_age_is_absent)
{
    feed_subscription source;
    source.observe(message(kind::all, std::nullopt), start);
    source.observe(message(kind::unchanged, std::nullopt), start + second);
    CHECK(source.confirmed_at() == start + second);
}

TEST(feed_subscription, messages_keep_their_age_on_the_wire)
{
    const auto with_age =
        decode_message(encode(message(kind::unchanged, 2 * second)));
    CHECK(with_age.has_value() && with_age.value().age == 2 * second);
    const auto without =
        decode_message(encode(message(kind::unchanged, std::nullopt)));
    CHECK(without.has_value() && !without.value().age);
}
