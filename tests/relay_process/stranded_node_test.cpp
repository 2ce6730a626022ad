#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// How long a node may take until its callers are served again.
constexpr duration contact_time = std::chrono::seconds(3);

relay_fleet_options with_links(int nodes)
{
    relay_fleet_options options;
    options.node_count = nodes;
    options.has_node_links = true;
    return options;
}

/// Nodes of which the first loses its links to all replicas.
class stranded_fleet
{
public:
    explicit stranded_fleet(int nodes) : fleet(with_links(nodes)) {}

    /// Cuts the links while callers use the node, and waits for as long as the
    /// node may take.
    void cut(fault_proxy::fault fault)
    {
        this->fleet.set_replica_links(0, fault);
        const time_point until = net::event_loop::now() + contact_time;
        while (net::event_loop::now() < until)
        {
            this->send("/stream/a");
            this->send("/plain/a");
            this->fleet.run_for(std::chrono::milliseconds(100));
        }
    }

    /// Sends a request to the first node without waiting.
    std::shared_ptr<relay_fleet::response> send(const std::string& path)
    {
        auto into = std::make_shared<relay_fleet::response>();
        this->fleet.start_call(0, "POST", path,
                               "r" + std::to_string(this->next_request++), "",
                               into);
        return into;
    }

    /// Checks that first tries at the first node are served, and soon.
    void check_served()
    {
        for (const char* path : {"/stream/a", "/plain/a", "/once/a"})
        {
            for (int count = 0; count < 5; ++count)
            {
                const std::string id =
                    "served" + std::to_string(this->next_request++);
                const time_point begin = net::event_loop::now();
                const auto response = this->fleet.call(0, "POST", path, id);
                CHECK_EQUAL_TEXT(200, response.status, path);
                const std::string expected = path == std::string("/plain/a")
                                                 ? "page of " + id
                                                 : expected_stream();
                STRCMP_EQUAL(expected.c_str(), response.body.c_str());
                CHECK(net::find_header(response.headers,
                                       "Parsleytrack-Response-Seal") !=
                      nullptr);
                CHECK(net::event_loop::now() - begin <
                      std::chrono::milliseconds(1000));
            }
        }
    }

    std::size_t listed_nodes()
    {
        const auto directory =
            this->fleet.call(-1, "GET", "/v1/resolve?name=h&region=r&zone=z");
        return nlohmann::json::parse(directory.body)["addresses"].size();
    }

    relay_fleet fleet;

private:
    int next_request = 1;
};

} // namespace

TEST_GROUP(relay_stranded_node){};

// Guards against a node that fails its callers while it reaches no replica,
// although other nodes reach them: its connections hang.
TEST(relay_stranded_node, callers_are_served_while_connections_hang)
{
    stranded_fleet test(2);
    test.cut(fault_proxy::fault::unreachable);
    test.check_served();
}

// The same where connections are reset, new ones as well.
TEST(relay_stranded_node, callers_are_served_while_connections_are_reset)
{
    stranded_fleet test(2);
    test.cut(fault_proxy::fault::reset);
    test.check_served();
}

// Guards against a stream that breaks off for its caller because the node has
// lost its links: another node can go on with it.
TEST(relay_stranded_node, a_stream_goes_on_through_another_node)
{
    stranded_fleet test(2);
    for (const auto& engine : test.fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(100);
    }
    const auto outcome = test.send("/stream/a");
    test.fleet.run_for(std::chrono::milliseconds(450));
    test.fleet.set_replica_links(0, fault_proxy::fault::reset);
    CHECK(test.fleet.wait([&outcome] { return outcome->status >= 0; }));
    CHECK_EQUAL(200, outcome->status);
    STRCMP_EQUAL(expected_stream().c_str(), outcome->body.c_str());
}

// Guards against sending callers to a node that has to pass their requests on,
// and against leaving it out for good.
TEST(relay_stranded_node, callers_are_sent_to_other_nodes_meanwhile)
{
    stranded_fleet test(3);
    test.cut(fault_proxy::fault::unreachable);
    CHECK_EQUAL(2, test.listed_nodes());
    test.fleet.set_replica_links(0, fault_proxy::fault::none);
    CHECK(test.fleet.wait([&test] { return test.listed_nodes() == 3; }));
    test.check_served();
}

// Guards against slots that a node holds for requests which reach no replica,
// and against healthy replicas that others leave out because of its reports.
TEST(relay_stranded_node, other_nodes_have_all_slots)
{
    stranded_fleet test(2);
    CHECK_EQUAL(202, test.fleet.submit(0, "job", 40).status);
    test.cut(fault_proxy::fault::unreachable);
    test.fleet.run_for(std::chrono::seconds(1));
    for (const auto& engine : test.fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(200);
    }
    std::vector<std::shared_ptr<relay_fleet::response>> streams;
    for (int count = 0; count < 12; ++count)
    {
        streams.push_back(std::make_shared<relay_fleet::response>());
        test.fleet.start_call(1, "POST", "/stream/a",
                              "s" + std::to_string(count), "", streams.back());
    }
    test.fleet.run_for(std::chrono::milliseconds(1500));
    std::size_t runs = 0;
    for (const auto& engine : test.fleet.engines)
    {
        for (int count = 0; count < 12; ++count)
        {
            runs += engine->runs.contains("s" + std::to_string(count)) ? 1 : 0;
        }
    }
    CHECK_EQUAL(12, runs);
}

// Guards against items that wait at a node which reaches no replica.
TEST(relay_stranded_node, a_job_ends_while_its_owner_reaches_no_replica)
{
    stranded_fleet test(2);
    for (const auto& engine : test.fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(100);
    }
    for (int number = 0; number < 4; ++number)
    {
        CHECK_EQUAL(
            202,
            test.fleet.submit(0, "job" + std::to_string(number), 2).status);
    }
    test.cut(fault_proxy::fault::unreachable);
    for (const auto& engine : test.fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(5);
    }
    const time_point begin = net::event_loop::now();
    for (int number = 0; number < 4; ++number)
    {
        const std::size_t results =
            test.fleet.results(1, "job" + std::to_string(number)).size();
        CHECK_EQUAL(2, results);
    }
    CHECK(net::event_loop::now() - begin < std::chrono::seconds(8));
}

// Guards against taking a replica that is silent for the node's own loss of its
// links, and sending all requests through other nodes.
TEST(relay_stranded_node, a_silent_replica_strands_no_node)
{
    relay_fleet_options options;
    options.node_count = 2;
    options.has_proxies = true;
    relay_fleet fleet(options);
    fleet.replica_proxies[0]->set_fault(fault_proxy::fault::unreachable);
    for (int count = 0; count < 20; ++count)
    {
        const auto response =
            fleet.call(0, "POST", "/stream/a", "s" + std::to_string(count));
        CHECK_EQUAL(200, response.status);
    }
    CHECK(fleet.metrics_text(0).find("parsleytrack_stranded 1") ==
          std::string::npos);
    CHECK(fleet.metrics_text(0).find("parsleytrack_requests_relayed_total") ==
          std::string::npos);
}

// Guards against requests that go round among nodes which all reach no replica.
TEST(relay_stranded_node, requests_are_refused_when_no_node_reaches_replicas)
{
    stranded_fleet test(2);
    test.fleet.set_replica_links(1, fault_proxy::fault::unreachable);
    test.cut(fault_proxy::fault::unreachable);
    const time_point begin = net::event_loop::now();
    CHECK(test.fleet.call(0, "POST", "/once/a", "lost").status >= 500);
    CHECK(net::event_loop::now() - begin < std::chrono::seconds(6));
    test.fleet.set_replica_links(0, fault_proxy::fault::none);
    test.fleet.set_replica_links(1, fault_proxy::fault::none);
    test.fleet.run_for(std::chrono::seconds(2));
    test.check_served();
}
