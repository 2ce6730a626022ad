#include "fake_store/fake_store_server.hpp"

#include "key_value/etcd_store.hpp"
#include "key_value/write_envelope.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>

using namespace parsleytrack;
using namespace parsleytrack::key_value;

namespace
{

constexpr duration test_timeout = std::chrono::seconds(30);
constexpr int unlimited = 100'000;
const std::string key = "parsleytrack/release/current";

} // namespace

TEST_GROUP(etcd_store)
{
    net::event_loop loop;
    net::http_client client{loop};
    fake_store_server server{loop};
    std::optional<result<swap_outcome>> swapped;

    std::unique_ptr<etcd_store> make_store(std::uint64_t seed = 1,
                                           int rate = unlimited)
    {
        return std::make_unique<etcd_store>(
            this->loop, this->client,
            std::vector<endpoint>{this->server.address}, rate, seed);
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        const time_point limit = net::event_loop::now() + test_timeout;
        while (!condition() && net::event_loop::now() < limit)
        {
            this->loop.run_for(std::chrono::milliseconds(10));
        }
        CHECK(condition());
    }

    result<swap_outcome> swap(etcd_store & store, store_revision expected,
                              const std::string& value,
                              const std::string& name = key)
    {
        std::optional<result<swap_outcome>> outcome;
        store.compare_and_swap(name, expected, value, store_lease(),
                               [&](result<swap_outcome> end)
                               { outcome = std::move(end); });
        this->run_until([&] { return outcome.has_value(); });
        return *outcome;
    }

    result<std::optional<versioned_value>> get(etcd_store & store)
    {
        std::optional<result<std::optional<versioned_value>>> outcome;
        store.get(key, [&](result<std::optional<versioned_value>> end)
                  { outcome = std::move(end); });
        this->run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
};

TEST(etcd_store, writes_reads_and_deletes)
{
    const auto store = this->make_store();
    const auto created = this->swap(*store, store_revision(), "one");
    CHECK(created.value().applied);
    const auto second =
        this->swap(*store, created.value().current->revision, "two");
    CHECK(second.value().applied);
    STRCMP_EQUAL("two", this->get(*store).value()->value.c_str());
    const auto late = this->swap(*store, store_revision(), "three");
    CHECK(!late.value().applied);
    STRCMP_EQUAL("two", late.value().current->value.c_str());
    std::optional<result<swap_outcome>> erased;
    store->erase(key, second.value().current->revision,
                 [&](result<swap_outcome> end) { erased = std::move(end); });
    this->run_until([&] { return erased.has_value(); });
    CHECK(erased->value().applied);
    CHECK(!this->get(*store).value().has_value());
}

TEST(etcd_store, only_own_keys_are_stored_in_an_envelope)
{
    const auto store = this->make_store();
    const std::string raw = "instances/rota-llm/1";
    CHECK(this->swap(*store, store_revision(), "{}", raw).value().applied);
    STRCMP_EQUAL("{}", this->server.keys[raw].bytes.c_str());
    CHECK(this->swap(*store, store_revision(), "x", key).value().applied);
    CHECK(decode_envelope(this->server.keys[key].bytes).has_value());
}

TEST(etcd_store, lists_in_pages)
{
    const auto store = this->make_store();
    for (int number = 0; number < 5; ++number)
    {
        this->server.put("parsleytrack/a/" + std::to_string(number), "v");
    }
    this->server.put("parsleytrack/b", "v");
    std::vector<std::string> seen;
    std::string after;
    for (int page = 0; page < 3; ++page)
    {
        bool done = false;
        store->list("parsleytrack/a/", after, 2,
                    [&](result<std::vector<listed_value>> values)
                    {
                        for (const listed_value& value : values.value())
                        {
                            seen.push_back(value.first);
                        }
                        done = true;
                    });
        this->run_until([&] { return done; });
        after = seen.back();
    }
    LONGS_EQUAL(5, seen.size());
    STRCMP_EQUAL("parsleytrack/a/4", seen.back().c_str());
}

// Guards against a write that is reported as applied when it was not, or the
// reverse. Several nodes write one key while requests and responses are lost.
TEST(etcd_store, reported_outcomes_are_correct_when_responses_are_lost)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        this->server.keys.clear();
        this->server.random.seed(seed);
        this->server.request_loss_percent = 10;
        this->server.response_loss_percent = 15;
        std::set<std::string> written;
        this->server.on_write =
            [&](const std::string&, const std::string& bytes)
        {
            written.insert(decode_envelope(bytes)->value);
        };
        std::vector<std::unique_ptr<etcd_store>> stores;
        int pending_calls = 0;
        std::map<std::string, bool> reported;
        int unknown = 0;
        for (std::uint64_t node = 0; node < 4; ++node)
        {
            stores.push_back(this->make_store(seed * 10 + node));
        }
        for (int round = 0; round < 25; ++round)
        {
            for (std::size_t node = 0; node < stores.size(); ++node)
            {
                ++pending_calls;
                etcd_store& store = *stores[node];
                const std::string value =
                    std::to_string(round) + "/" + std::to_string(node);
                store.get(
                    key,
                    [&, value](result<std::optional<versioned_value>> read)
                    {
                        if (read.has_error())
                        {
                            --pending_calls;
                            return;
                        }
                        const auto expected = read.value()
                                                  ? read.value()->revision
                                                  : store_revision();
                        store.compare_and_swap(
                            key, expected, value, store_lease(),
                            [&, value](result<swap_outcome> end)
                            {
                                --pending_calls;
                                if (end.has_value())
                                {
                                    reported[value] = end.value().applied;
                                }
                                else if (end.error().code ==
                                         error_code::store_unavailable)
                                {
                                    reported[value] = false;
                                }
                                else
                                {
                                    ++unknown;
                                }
                            });
                    });
            }
            this->run_until([&] { return pending_calls == 0; });
        }
        int applied = 0;
        for (const auto& [value, was_applied] : reported)
        {
            CHECK_EQUAL_TEXT(was_applied, written.contains(value),
                             value.c_str());
            applied += was_applied ? 1 : 0;
        }
        CHECK(applied > 8);
        CHECK(unknown < 60);
    }
}

TEST(etcd_store, calls_fail_at_once_during_an_outage)
{
    const auto store = this->make_store();
    this->server.unavailable = true;
    while (store->is_reachable())
    {
        CHECK(this->get(*store).has_error());
    }
    const int before = this->server.calls;
    for (int call = 0; call < 50; ++call)
    {
        const auto refused = this->get(*store);
        CHECK(refused.error().code == error_code::store_unavailable);
        CHECK(refused.error().retry_after.has_value());
    }
    CHECK(this->server.calls <= before + 2);
    this->server.unavailable = false;
    this->run_until([&] { return store->is_reachable(); });
    CHECK(this->get(*store).has_value());
}

TEST(etcd_store, a_watch_catches_up_after_its_connection_was_cut)
{
    const auto store = this->make_store();
    std::map<std::string, std::string> view;
    this->server.put("instances/a", "1");
    this->server.put("instances/b", "1");
    auto watch = store->watch(
        "instances/",
        [&](const std::string& name, std::optional<versioned_value> value)
        {
            if (value)
            {
                view[name] = value->value;
            }
            else
            {
                view.erase(name);
            }
        });
    this->run_until([&] { return view.size() == 2; });
    this->server.put("instances/c", "1");
    this->run_until([&] { return view.size() == 3; });
    this->server.erase("instances/c");
    this->run_until([&] { return view.size() == 2; });
    this->server.unavailable = true;
    this->server.drop_watches();
    this->server.erase("instances/a");
    this->server.put("instances/b", "2");
    this->loop.run_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(2, view.size());
    this->server.unavailable = false;
    this->run_until([&] { return view.size() == 1; });
    STRCMP_EQUAL("2", view["instances/b"].c_str());
    watch.reset();
    this->server.put("instances/d", "1");
    this->loop.run_for(std::chrono::milliseconds(50));
    LONGS_EQUAL(1, view.size());
}

TEST(etcd_store, a_destroyed_store_runs_no_callbacks)
{
    auto store = this->make_store();
    bool called = false;
    store->get(key, [&](const auto&) { called = true; });
    store->compare_and_swap(key, store_revision(), "v", store_lease(),
                            [&](const auto&) { called = true; });
    store.reset();
    this->loop.run_for(std::chrono::milliseconds(50));
    CHECK(!called);
}
