#include "process_support/test_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace parsleytrack::process_support
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t first_port = 7000;
constexpr std::uint16_t peer_port_offset = 1000;
constexpr duration start_limit = std::chrono::seconds(20);
/// Time for a node to tell whom it knows after the fleet failed to start.
constexpr duration view_limit = std::chrono::seconds(1);
constexpr std::size_t shown_log_bytes = 1500;
const std::vector<std::string> zones{"qc-east-a", "qc-east-b", "qc-east-c"};
const char* const first_note = R"({"note_id":"opening","added":[
    {"kind":"model","name":"carnet-7b","version":"1","service":"rota-llm"}]})";

/// Each process has an address of its own, so that ports never collide.
std::string own_host()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + ((pid >> 16) & 63)) + "." +
           std::to_string((pid >> 8) & 255) + "." + std::to_string(pid & 255);
}

std::string base64(const std::string& bytes)
{
    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                     "opqrstuvwxyz0123456789+/";
    std::string text;
    unsigned window = 0;
    int bits = 0;
    for (const char byte : bytes)
    {
        window = (window << 8) | static_cast<unsigned char>(byte);
        for (bits += 8; bits >= 6;)
        {
            bits -= 6;
            text += alphabet[(window >> bits) & 63];
        }
    }
    if (bits > 0)
    {
        text += alphabet[(window << (6 - bits)) & 63];
    }
    return text + std::string((4 - text.size() % 4) % 4, '=');
}

json service_json(const fleet_options& options, const char* name,
                  const char* kind)
{
    return {{"name", name},
            {"kind", kind},
            {"slots", options.slots},
            {"online_reserve", 1},
            {"online_deadline_s", 20},
            {"first_byte_timeout_s", 3},
            {"idle_timeout_s", 2}};
}

} // namespace

test_fleet::test_fleet(const fleet_options& fleet)
    : options(fleet), host(own_host()), next_port(first_port)
{
}

test_process test_fleet::make(const std::string& name,
                              const std::string& program,
                              const std::vector<std::string>& flags)
{
    test_process process;
    process.name = name;
    process.address = endpoint{this->host, this->next_port++};
    process.arguments = {program, "--host=" + this->host,
                         "--port=" + std::to_string(process.address.port)};
    process.arguments.insert(process.arguments.end(), flags.begin(),
                             flags.end());
    return process;
}

void test_fleet::launch(test_process& process)
{
    process.child = std::make_unique<child_process>(
        process.arguments, this->folder.path(process.name + ".log"));
}

void test_fleet::start_again(test_process& process)
{
    process.child->kill();
    this->launch(process);
}

void test_fleet::add_stand_ins()
{
    this->store = this->make("store", STORE_PROGRAM, {});
    for (int index = 0; index < this->options.engines; ++index)
    {
        const std::string name = "rota-llm-" + std::to_string(index);
        std::vector<std::string> flags{
            "--replica=" + name,
            "--slots=" + std::to_string(this->options.slots), "--load_ms=100"};
        flags.push_back(this->options.checks_fencing ? "--checks_fencing"
                                                     : "--nochecks_fencing");
        flags.insert(flags.end(), this->options.engine_flags.begin(),
                     this->options.engine_flags.end());
        this->engines.push_back(this->make(name, ENGINE_PROGRAM, flags));
    }
    for (int index = 0; index < this->options.services; ++index)
    {
        const std::string name = "rota-web-" + std::to_string(index);
        std::vector<std::string> flags{"--executions_file=" +
                                       this->folder.path("executions.txt")};
        flags.insert(flags.end(), this->options.service_flags.begin(),
                     this->options.service_flags.end());
        this->services.push_back(this->make(name, SERVICE_PROGRAM, flags));
    }
}

std::string test_fleet::settings_text(int index) const
{
    const std::string name = "entry-" + std::to_string(index);
    json engine = service_json(this->options, "rota-llm", "engine");
    engine["checks_fencing"] = this->options.checks_fencing;
    json plain = service_json(this->options, "rota-web", "plain");
    plain["routes"] =
        json::array({{{"path_prefix", "/rota/"}, {"idempotent", true}},
                     {{"path_prefix", "/orders"}, {"idempotent", false}}});
    const auto http = static_cast<std::uint16_t>(this->next_port);
    json seeds = json::array();
    const int first = http - index;
    for (int other = 0; other < this->options.nodes; ++other)
    {
        if (other != index)
        {
            seeds.push_back(this->host + ":" +
                            std::to_string(first + other + peer_port_offset));
        }
    }
    const json settings{
        {"node",
         {{"id", name},
          {"region", "qc-east"},
          {"availability_zone",
           zones[static_cast<std::size_t>(index) % zones.size()]},
          {"data_folder", this->folder.path("data-" + name)}}},
        {"listen",
         {{"host", this->host},
          {"http_port", http},
          {"peer_port", http + peer_port_offset}}},
        {"seeds", seeds},
        {"store",
         {{"addresses", json::array({to_string(this->store.address)})},
          {"calls_per_s", 50}}},
        {"services", json::array({engine, plain})},
        {"batch",
         {{"lot_items", this->options.lot_items},
          {"lease_s", this->options.lease_s},
          {"commit_interval_s", 0.3}}},
        {"addresses",
         {{"validity_s", this->options.address_validity_s},
          {"leave_margin_s", 1}}}};
    return settings.dump(4);
}

void test_fleet::add_node(int index)
{
    const std::string name = "entry-" + std::to_string(index);
    const std::string path = this->folder.path(name + ".json");
    std::ofstream(path) << this->settings_text(index);
    std::filesystem::create_directories(this->folder.path("data-" + name));
    test_process node;
    node.name = name;
    node.address = endpoint{this->host, this->next_port++};
    node.arguments = {DAEMON_PROGRAM, "--settings", path};
    this->nodes.push_back(std::move(node));
}

void test_fleet::list_instance(const std::string& service,
                               const test_process& process, int index)
{
    const json value{{"host", process.address.host},
                     {"port", process.address.port},
                     {"availability_zone",
                      zones[static_cast<std::size_t>(index) % zones.size()]},
                     {"state", "live"}};
    const json put{{"key", base64("instances/" + service + "/" + process.name)},
                   {"value", base64(value.dump())}};
    this->wait(
        "the store takes the platform's list",
        [&]
        {
            return this->client
                       .call(this->store.address, "POST", "/v3/kv/put",
                             put.dump())
                       ->status() == 200;
        },
        start_limit);
}

void test_fleet::start()
{
    this->add_stand_ins();
    this->launch(this->store);
    int index = 0;
    for (test_process& engine : this->engines)
    {
        this->launch(engine);
        this->list_instance("rota-llm", engine, index++);
    }
    index = 0;
    for (test_process& service : this->services)
    {
        this->launch(service);
        this->list_instance("rota-web", service, index++);
    }
    for (index = 0; index < this->options.nodes; ++index)
    {
        this->add_node(index);
    }
    for (test_process& node : this->nodes)
    {
        this->launch(node);
    }
    this->wait_until_joined();
    this->apply_note(first_note);
    this->wait(
        "all engines have the first model",
        [this]
        {
            return std::all_of(this->engines.begin(), this->engines.end(),
                               [this](const test_process& engine)
                               { return this->has_model(engine); });
        },
        start_limit);
}

void test_fleet::wait_until_joined()
{
    const auto joined = [this]
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [this](const test_process& node)
                           { return this->knows_all(node); });
    };
    if (this->client.wait(joined, start_limit))
    {
        return;
    }
    net::http_request request;
    request.target = "/v1/nodes";
    request.total_timeout = view_limit;
    for (const test_process& node : this->nodes)
    {
        std::cerr << node.name << " knows "
                  << this->client.call(node.address, request)->body() << '\n';
    }
    this->fail("all nodes know each other");
}

bool test_fleet::knows_all(const test_process& node)
{
    const auto answer = this->client.call(node.address, "GET", "/v1/nodes");
    return answer->status() == 200 &&
           json::parse(answer->body()).at("nodes").size() == this->nodes.size();
}

bool test_fleet::has_model(const test_process& engine)
{
    const auto answer = this->client.call(engine.address, "GET", "/v1/state");
    return answer->status() == 200 &&
           !json::parse(answer->body()).at("models").empty();
}

void test_fleet::apply_note(const std::string& note)
{
    const std::string id = json::parse(note).at("note_id");
    const auto in_force = [&](const test_process& node)
    {
        const auto answer =
            this->client.call(node.address, "GET", "/v1/release");
        return answer->status() == 200 &&
               json::parse(answer->body()).value("note_id", "") == id;
    };
    const auto shown =
        this->client.call(this->nodes.front().address, "GET", "/v1/release");
    const std::int64_t version =
        shown->status() == 200
            ? json::parse(shown->body()).at("version").get<std::int64_t>()
            : 0;
    this->wait(
        "the release note is accepted",
        [&]
        {
            return this->client
                       .call(this->nodes.front().address, "PUT",
                             "/v1/release?expected_version=" +
                                 std::to_string(version),
                             note)
                       ->status() == 200;
        },
        start_limit);
    this->wait(
        "the release note is in force on all nodes",
        [&] {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                               in_force);
        },
        start_limit);
}

void test_fleet::set_switch(const test_process& stand_in,
                            const std::string& switches)
{
    const auto answer =
        this->client.call(stand_in.address, "POST", "/admin/switch", switches);
    LONGS_EQUAL(200, answer->status());
}

int test_fleet::executions(const std::string& key)
{
    // The stand-ins share one file of executions.
    const auto answer = this->client.call(this->services.front().address, "GET",
                                          "/executions?key=" + key);
    LONGS_EQUAL(200, answer->status());
    return json::parse(answer->body()).at("count");
}

void test_fleet::wait(const char* what, const std::function<bool()>& condition,
                      duration limit)
{
    if (!this->client.wait(condition, limit))
    {
        this->fail(what);
    }
}

void test_fleet::fail(const std::string& message)
{
    const auto show = [](const test_process& process)
    {
        if (process.child)
        {
            const std::string log = process.child->output();
            std::cerr << "--- " << process.name << " ("
                      << (process.child->has_ended()
                              ? "ended with " +
                                    std::to_string(process.child->exit_code())
                              : "running")
                      << ")\n"
                      << log.substr(log.size() > shown_log_bytes
                                        ? log.size() - shown_log_bytes
                                        : 0)
                      << '\n';
        }
    };
    std::for_each(this->nodes.begin(), this->nodes.end(), show);
    std::for_each(this->engines.begin(), this->engines.end(), show);
    FAIL(message.c_str());
}

} // namespace parsleytrack::process_support
