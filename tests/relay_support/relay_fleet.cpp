#include "relay_support/relay_fleet.hpp"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>
#include <set>
#include <stdexcept>
#include <utility>

namespace parsleytrack::relay_support
{

using nlohmann::json;

namespace
{

/// \returns A loopback address that only this process uses, so that no other
/// connection or test takes a port between its selection and its use.
std::string node_host(std::size_t number)
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + (pid >> 8U) % 200) + "." +
           std::to_string(pid % 256) + "." + std::to_string(number + 2);
}

/// Selects ports that are free at the addresses of all nodes.
class port_allocator
{
public:
    port_allocator(net::event_loop& event_loop, std::size_t host_count)
        : loop(event_loop), hosts(host_count)
    {
    }

    /// \returns A port that was free at all addresses when checked, and that
    /// was not returned before.
    std::uint16_t next()
    {
        while (true)
        {
            net::http_server first(this->loop);
            const std::uint16_t port =
                first.listen(endpoint{node_host(0), 0}).value();
            first.stop_accepting();
            if (this->is_free(port) && this->allocated.insert(port).second)
            {
                return port;
            }
        }
    }

private:
    bool is_free(std::uint16_t port)
    {
        for (std::size_t number = 0; number < this->hosts; ++number)
        {
            net::http_server probe(this->loop);
            if (probe.listen(endpoint{node_host(number), port}).has_error())
            {
                return false;
            }
            probe.stop_accepting();
        }
        return true;
    }

    net::event_loop& loop;
    std::size_t hosts;
    std::set<std::uint16_t> allocated;
};

const char* const configuration_text = R"({"version":3,"routes":[
 {"name":"plain","host":"h","prefix":"/plain/","kind":"safe","timeoutMs":2000,
  "targetLatencyMs":500,"service":"web","maxAttempts":2,"priority":2},
 {"name":"stream","host":"h","prefix":"/stream/","kind":"streaming",
  "timeoutMs":5000,"targetLatencyMs":1000,"service":"llm","maxAttempts":3,
  "resumable":true,"priority":0},
 {"name":"once","host":"h","prefix":"/once/","kind":"streaming",
  "timeoutMs":5000,"targetLatencyMs":1000,"service":"llm","maxAttempts":3,
  "priority":0},
 {"name":"batch","host":"h","prefix":"/batch/","kind":"batch",
  "targetLatencyMs":400,"runTargetMs":18000,"retentionS":60,"maxAttempts":2,
  "maxCount":100000,"service":"llm","priority":2}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":100},
  {"name":"web","healthPath":"/health","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,
  "headerTimeoutMs":1000,"idleTimeoutMs":2000}})";

} // namespace

std::string relay_fleet::configuration(int version,
                                       const std::string& plain_prefix)
{
    json document = json::parse(configuration_text);
    document["version"] = version;
    document["routes"][0]["prefix"] = plain_prefix;
    return document.dump();
}

relay_fleet::relay_fleet(int node_count)
    : relay_fleet(relay_fleet_options{.node_count = node_count})
{
}

relay_fleet::relay_fleet(const relay_fleet_options& chosen) : options(chosen)
{
    const int node_count = this->options.node_count;
    json contents = json::parse(configuration(3, "/plain/"));
    contents["limits"]["maxBodyBytes"] = this->options.max_body_bytes;
    contents["limits"]["idleTimeoutMs"] = this->options.idle_timeout_ms;
    this->store.put("op/config", contents.dump());
    const auto add_replica =
        [this](const std::string& name, const std::string& service)
    {
        auto replica = std::make_unique<replica_stand_in>(this->loop, name);
        if (this->options.has_proxies)
        {
            this->replica_proxies.push_back(std::make_unique<fault_proxy>(
                this->loop, replica->listen_address()));
            replica->advertise(this->replica_proxies.back()->address());
        }
        this->store.put("servers/" + name, replica->record(service));
        return replica;
    };
    for (int number = 0; number < this->options.engine_count; ++number)
    {
        this->engines.push_back(
            add_replica("i-" + std::to_string(number), "llm"));
    }
    this->web = add_replica("i-web", "web");
    this->store.put("servers/i-broken", "{\"service\":1}");
    const int process_count = node_count + this->options.storage_count;
    this->nodes.resize(static_cast<std::size_t>(process_count));
    // All nodes use the same peer port, each at its own address.
    port_allocator ports(this->loop, this->nodes.size());
    const std::uint16_t peer_port = ports.next();
    const std::uint16_t metrics_port = ports.next();
    for (std::size_t number = 0; number < this->nodes.size(); ++number)
    {
        node& entry = this->nodes[number];
        const std::string host = node_host(number);
        entry.front = endpoint{host, ports.next()};
        entry.ready = endpoint{host, ports.next()};
        entry.directory = endpoint{host, ports.next()};
        entry.peer = endpoint{host, peer_port};
        entry.metrics = endpoint{host, metrics_port};
        entry.store = this->store.add_address();
        if (this->options.has_proxies)
        {
            this->store_proxies.push_back(
                std::make_unique<fault_proxy>(this->loop, entry.store));
        }
    }
    if (this->options.has_node_links)
    {
        this->add_node_links();
    }
    for (int number = 0; number < process_count; ++number)
    {
        this->write_settings(static_cast<std::size_t>(number));
        this->start(number);
    }
    for (int number = 0; number < node_count; ++number)
    {
        this->wait_ready(number);
    }
    // Waits until the directory lists all nodes.
    this->wait(
        [this, node_count]
        {
            const response directory =
                this->call(-1, "GET", "/v1/resolve?name=h&region=r&zone=z");
            const json body = json::parse(directory.body, nullptr, false);
            return body.is_object() && body["addresses"].size() ==
                                           static_cast<std::size_t>(node_count);
        });
}

void relay_fleet::add_node_links()
{
    std::vector<const replica_stand_in*> replicas{this->web.get()};
    for (const auto& engine : this->engines)
    {
        replicas.push_back(engine.get());
    }
    for (const node& entry : this->nodes)
    {
        auto& links = this->node_links.emplace_back();
        for (const replica_stand_in* replica : replicas)
        {
            links.push_back(std::make_unique<fault_proxy>(
                this->loop, replica->advertised()));
            this->store.replace_at(entry.store,
                                   to_string(replica->advertised()),
                                   to_string(links.back()->address()));
        }
    }
}

void relay_fleet::set_replica_links(int node, fault_proxy::fault fault)
{
    for (const auto& link : this->node_links.at(static_cast<std::size_t>(node)))
    {
        link->set_fault(fault);
    }
}

void relay_fleet::write_settings(std::size_t number)
{
    node& entry = this->nodes[number];
    entry.settings =
        this->folder.path("node" + std::to_string(number) + ".json");
    const endpoint& store_address = this->options.has_proxies
                                        ? this->store_proxies[number]->address()
                                        : entry.store;
    const auto entry_nodes = static_cast<std::size_t>(this->options.node_count);
    json seeds = json::array();
    for (std::size_t other = 0; other < entry_nodes; ++other)
    {
        seeds.push_back(to_string(this->nodes[other].peer));
    }
    json listen{{"peer", to_string(entry.peer)},
                {"metrics", to_string(entry.metrics)}};
    if (number < entry_nodes)
    {
        listen["front"] = to_string(entry.front);
        listen["ready"] = to_string(entry.ready);
        listen["directory"] = to_string(entry.directory);
    }
    json own{{"id", "n" + std::to_string(number)},
             {"region", "r"},
             {"availability_zone", "z"}};
    if (this->options.memory_mb > 0)
    {
        own["memory_mb"] = this->options.memory_mb;
    }
    const json document{
        {"node", own},
        {"listen", listen},
        {"seeds", seeds},
        {"store",
         {{"address", to_string(store_address)},
          {"most_nodes_alone", this->options.max_direct_followers}}},
        {"addresses", {{"validity_s", this->options.address_validity_s}}},
        {"jobs", {{"keep_results_s", this->options.keep_results_s}}},
        {"stop", {{"limit_s", 8}}}};
    std::ofstream(entry.settings) << document.dump();
}

void relay_fleet::start(int number)
{
    node& entry = this->nodes.at(static_cast<std::size_t>(number));
    entry.process = std::make_unique<process_support::child_process>(
        std::vector<std::string>{DAEMON_PROGRAM, "--relay",
                                 "--settings=" + entry.settings},
        entry.settings + ".log");
}

void relay_fleet::wait_ready(int number)
{
    const bool ready = this->wait(
        [this, number]
        {
            const auto into = std::make_shared<response>();
            const std::uint64_t call = this->next_call++;
            bool ended = false;
            this->calls[call] = this->client.send(
                this->nodes[static_cast<std::size_t>(number)].ready,
                net::http_request{},
                {{},
                 {},
                 [&ended, into](const result<net::http_response>& end)
                 {
                     ended = true;
                     into->status = end.has_value() ? end.value().status : 0;
                 }});
            while (!ended)
            {
                this->loop.run_for(std::chrono::milliseconds(10));
            }
            this->calls.erase(call);
            return into->status == 200;
        });
    if (!ready)
    {
        throw std::runtime_error("node did not become ready: " +
                                 this->process(number).output());
    }
}

void relay_fleet::run_for(duration span)
{
    const time_point until = net::event_loop::now() + span;
    while (net::event_loop::now() < until)
    {
        this->loop.run_for(std::chrono::milliseconds(20));
    }
}

bool relay_fleet::wait(const std::function<bool()>& condition)
{
    const time_point limit = net::event_loop::now() + wait_timeout;
    while (!condition())
    {
        if (net::event_loop::now() > limit)
        {
            return false;
        }
        this->loop.run_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace parsleytrack::relay_support
