#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 6;
constexpr std::size_t source_count = 2;
/// The platform's bound for large groups, in which nodes follow sources.
constexpr duration change_bound = std::chrono::seconds(3);
const std::string configuration_key = "op/config";
const std::string replica_prefix = "servers/";

/// A fleet in which the store can stop answering single nodes. Their
/// connections stay open and acknowledge packets.
class fed_fleet
{
public:
    /// \returns The nodes that watch a prefix, as soon as only the sources do.
    ///
    /// \param change Changes something under the prefix. This ends the open
    /// watches of nodes that no longer watch the store.
    template <class Change>
    std::set<int> wait_for_sources(const std::string& prefix, Change change)
    {
        std::set<int> sources;
        CHECK(this->fleet.wait(
            [&]
            {
                change();
                this->fleet.run_for(std::chrono::milliseconds(700));
                sources.clear();
                const auto watchers = this->fleet.store.watchers(prefix);
                for (int node = 0; node < node_count; ++node)
                {
                    if (watchers.contains(this->fleet.store_address(node)))
                    {
                        sources.insert(node);
                    }
                }
                return sources.size() == source_count;
            }));
        return sources;
    }

    std::set<int> wait_for_configuration_sources()
    {
        return this->wait_for_sources(configuration_key,
                                      [this] { this->configure("/p/"); });
    }

    void configure(const std::string& plain_prefix)
    {
        this->fleet.store.put(
            configuration_key,
            relay_fleet::configuration(++this->version, plain_prefix));
    }

    void stop_answering(const std::set<int>& nodes)
    {
        this->set_store_fault(nodes, fault_proxy::fault::blocked);
    }

    void answer(const std::set<int>& nodes)
    {
        this->set_store_fault(nodes, fault_proxy::fault::none);
    }

    int status_of(int node, const std::string& path)
    {
        return this->fleet
            .call(node, "POST", path, "id" + std::to_string(++this->requests))
            .status;
    }

    relay_fleet fleet{relay_fleet_options{.node_count = node_count,
                                          .max_direct_followers = 2,
                                          .has_proxies = true}};
    int version = 10;

private:
    void set_store_fault(const std::set<int>& nodes, fault_proxy::fault fault)
    {
        for (const int node : nodes)
        {
            this->fleet.store_proxies.at(static_cast<std::size_t>(node))
                ->set_fault(fault);
        }
    }

    int requests = 0;
};

} // namespace

TEST_GROUP(relay_feed_ages){};

// Guards against a node that keeps an old configuration, although the store
// answers it, because its sources wait on watches that the store no longer
// answers and report no changes.
TEST(relay_feed_ages, sources_without_the_store_delay_no_configuration)
{
    fed_fleet fed;
    const std::set<int> sources = fed.wait_for_configuration_sources();
    fed.stop_answering(sources);
    fed.configure("/changed/");
    fed.fleet.run_for(change_bound);
    for (int node = 0; node < node_count; ++node)
    {
        if (!sources.contains(node))
        {
            CHECK_EQUAL(200, fed.status_of(node, "/changed/a"));
            CHECK_EQUAL(404, fed.status_of(node, "/p/a"));
        }
    }
}

// The same for the list of replicas.
TEST(relay_feed_ages, sources_without_the_store_delay_no_draining_replica)
{
    fed_fleet fed;
    int number = 0;
    const std::set<int> sources = fed.wait_for_sources(
        replica_prefix, [&]
        { fed.fleet.store.put("servers/i-broken", std::to_string(++number)); });
    fed.stop_answering(sources);
    fed.fleet.store.put("servers/i-0",
                        fed.fleet.engines[0]->record("llm", "draining"));
    fed.fleet.run_for(change_bound);
    for (int count = 0; count < 6 * node_count; ++count)
    {
        const int node = count % node_count;
        const std::string id = "stream" + std::to_string(count);
        if (!sources.contains(node))
        {
            CHECK_EQUAL(200,
                        fed.fleet.call(node, "POST", "/once/a", id).status);
            CHECK_FALSE(fed.fleet.engines[0]->runs.contains(id));
        }
    }
}

// Guards against an age that tells when a source last sent a message instead of
// when the store last confirmed what it says.
TEST(relay_feed_ages, a_node_shows_how_old_its_configuration_is)
{
    fed_fleet fed;
    fed.wait_for_configuration_sources();
    std::set<int> all;
    for (int node = 0; node < node_count; ++node)
    {
        all.insert(node);
    }
    fed.stop_answering(all);
    constexpr duration outage = std::chrono::seconds(5);
    fed.fleet.run_for(outage);
    for (const int node : all)
    {
        const std::string text = fed.fleet.metrics_text(node);
        const std::string name = "\nparsleytrack_configuration_age_seconds ";
        const std::size_t at = text.find(name);
        CHECK(at != std::string::npos);
        const double age_s = std::stod(text.substr(at + name.size()));
        CHECK(age_s >= std::chrono::duration<double>(outage).count());
    }
}

// Guards against a source that reports no changes right after an outage,
// although its watch has not been answered since.
TEST(relay_feed_ages, changes_made_during_an_outage_arrive_after_it)
{
    fed_fleet fed;
    const std::set<int> sources = fed.wait_for_configuration_sources();
    std::set<int> all;
    for (int node = 0; node < node_count; ++node)
    {
        all.insert(node);
    }
    fed.stop_answering(all);
    fed.fleet.run_for(std::chrono::seconds(2));
    fed.fleet.store.forget_watches();
    fed.configure("/changed/");
    fed.answer(all);
    fed.fleet.run_for(change_bound);
    for (const int node : all)
    {
        CHECK_EQUAL(200, fed.status_of(node, "/changed/a"));
    }
}
