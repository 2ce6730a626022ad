#pragma once

#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay_process
{

/// Last event that a caller has received when it takes a stream up again.
inline constexpr int last_event = 3;

/// Runs replicas of two software versions; those of the newer one are chosen
/// first when nothing else decides, since their ids sort first.
class two_versions
{
public:
    explicit two_versions(const relay_support::relay_fleet_options& options)
        : fleet(options)
    {
    }

    void start_newer_replicas()
    {
        for (const char* name : {"a-0", "a-1"})
        {
            auto& replica = this->newer.emplace_back(
                std::make_unique<relay_support::replica_stand_in>(
                    this->fleet.loop, name));
            replica->version = "v2";
            this->fleet.store.put("servers/" + std::string(name),
                                  replica->record("llm"));
        }
        this->wait_for_list(0, [](const std::string& text)
                            { return text.find("a-1") != std::string::npos; });
    }

    /// Removes the replicas that were there from the beginning.
    ///
    /// \param node A node that runs.
    void remove_older_replicas(int node)
    {
        this->erase_older_replicas();
        this->wait_for_list(node, [](const std::string& text)
                            { return text.find("i-0") == std::string::npos; });
    }

    /// Does so while the first node does not run, and starts it.
    void remove_older_replicas_and_restart()
    {
        this->erase_older_replicas();
        this->restart(0);
    }

    /// Starts a stream at the first node, which sends events until the node is
    /// killed.
    void begin_stream(const std::string& id)
    {
        for (const auto& engine : this->fleet.engines)
        {
            engine->event_interval = std::chrono::milliseconds(50);
            engine->event_count = 1000;
        }
        this->fleet.start_call(0, "POST", "/stream/a", id, "",
                               this->first_response);
        CHECK(this->fleet.wait(
            [this]
            {
                std::size_t open = 0;
                for (const auto& engine : this->fleet.engines)
                {
                    open += engine->open_streams();
                }
                return open > 0;
            }));
        this->fleet.run_for(std::chrono::milliseconds(50 * (last_event + 1)));
    }

    /// Lets streams end as usual again.
    void end_streams()
    {
        for (const auto& engine : this->fleet.engines)
        {
            engine->event_interval = std::chrono::milliseconds(5);
            engine->event_count =
                relay_support::replica_stand_in::stream_events;
        }
    }

    /// Takes a stream up as the caller that began it.
    relay_support::relay_fleet::response
    take_up(int node, const std::string& first_request)
    {
        this->fleet.caller_headers = {
            {"Last-Event-Id", std::to_string(last_event)},
            {"Resumes", first_request}};
        const relay_support::relay_fleet::response response =
            this->fleet.call(node, "POST", "/stream/a", "again");
        this->fleet.caller_headers.clear();
        return response;
    }

    /// Kills the first two nodes and starts them again; what they knew is gone.
    void kill_and_restart_both()
    {
        this->fleet.process(0).kill();
        this->fleet.process(1).kill();
        this->end_streams();
        this->restart(0);
        this->restart(1);
    }

    void restart(int node)
    {
        this->fleet.start(node);
        this->fleet.wait_ready(node);
    }

    /// \returns How many runs at newer replicas went on after an event.
    int resumed_at_newer() const { return resumed(this->newer); }
    int resumed_at_older() const { return resumed(this->fleet.engines); }

    relay_support::relay_fleet fleet;
    std::vector<std::unique_ptr<relay_support::replica_stand_in>> newer;
    /// The response to the stream that begin_stream() has started.
    std::shared_ptr<relay_support::relay_fleet::response> first_response =
        std::make_shared<relay_support::relay_fleet::response>();

private:
    using replicas =
        std::vector<std::unique_ptr<relay_support::replica_stand_in>>;

    static int resumed(const replicas& engines)
    {
        int count = 0;
        for (const auto& engine : engines)
        {
            for (const auto& [request, starts] : engine->resumed_after)
            {
                for (const int after : starts)
                {
                    count += after > 0 ? 1 : 0;
                }
            }
        }
        return count;
    }

    void erase_older_replicas()
    {
        for (const auto& engine : this->fleet.engines)
        {
            this->fleet.store.erase("servers/" + engine->name());
        }
    }

    template <typename Condition>
    void wait_for_list(int node, Condition condition)
    {
        CHECK(this->fleet.wait(
            [this, node, &condition] {
                return condition(this->fleet.status(node)["replicas"].dump());
            }));
    }
};

} // namespace parsleytrack::relay_process
