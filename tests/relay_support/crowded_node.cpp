#include "relay_support/crowded_node.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <memory>
#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

constexpr int idle_timeout_ms = 30'000;

} // namespace

std::string crowd_head(const std::string& path, const std::string& framing,
                       const std::string& id)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nParsleytrack-Deadline-Ms: 5000\r\n"
           "Parsleytrack-Request-Id: " +
           id + "\r\n" + framing + "\r\n\r\n";
}

std::string declared_head(const std::string& path, std::size_t bytes,
                          const std::string& id)
{
    return crowd_head(path, "Content-Length: " + std::to_string(bytes), id);
}

std::string large_submission(std::size_t bytes)
{
    const std::string start = R"({"items":[{"id":"i","path":"/batch/x",)"
                              R"("headers":{},"tokens":1,"body":")";
    const std::string end = "\"}]}";
    constexpr std::size_t base64_group = 4;
    const std::size_t room = bytes - start.size() - end.size();
    return start + std::string(room / base64_group * base64_group, 'A') + end;
}

crowded_node::crowded_node(std::size_t piece_bytes, bool has_proxies)
    : crowded_node(piece_bytes, limited(has_proxies))
{
}

crowded_node::crowded_node(std::size_t piece_bytes,
                           const relay_fleet_options& options)
    : nodes(options), piece(piece_bytes), target(nodes.front_address(0))
{
    this->disperse();
}

void crowded_node::aim_at(const endpoint& address, int number)
{
    this->target = address;
    this->tested_node = number;
    this->disperse();
}

relay_fleet_options crowded_node::limited(bool has_proxies)
{
    return relay_fleet_options{.has_proxies = has_proxies,
                               .memory_mb = crowd_limits::memory_mb,
                               .max_body_bytes =
                                   static_cast<int>(crowd_limits::max_body),
                               .idle_timeout_ms = idle_timeout_ms};
}

void crowded_node::disperse()
{
    this->crowd = std::make_unique<caller_crowd>(this->nodes.loop, this->target,
                                                 this->piece);
}

void crowded_node::set_store_silent(bool silent)
{
    for (const auto& proxy : this->nodes.store_proxies)
    {
        proxy->set_fault(silent ? fault_proxy::fault::blocked
                                : fault_proxy::fault::none);
    }
}

void crowded_node::set_replicas_silent(bool silent)
{
    for (const auto& proxy : this->nodes.replica_proxies)
    {
        proxy->set_fault(silent ? fault_proxy::fault::blocked
                                : fault_proxy::fault::none);
    }
}

void crowded_node::add(std::size_t count, std::string text)
{
    this->crowd->use_addresses(this->address_count);
    this->crowd->add(count,
                     std::make_shared<const std::string>(std::move(text)));
}

void crowded_node::add_jobs(std::size_t count)
{
    const std::string job =
        large_submission(crowd_limits::max_body - crowd_limits::missing_bytes);
    for (std::size_t number = 0; number < count; ++number)
    {
        this->add(1, declared_head("/batch/a", job.size(),
                                   "job" + std::to_string(number)) +
                         job);
    }
}

void crowded_node::check(const std::function<void()>& when_sent)
{
    this->crowd->send_all();
    if (when_sent)
    {
        when_sent();
    }
    process_support::child_process& node =
        this->nodes.process(this->tested_node);
    const bool answered = this->nodes.wait(
        [this]
        {
            return this->nodes.call(0, "POST", "/plain/a", "after", "body")
                       .status == 200;
        });
    std::printf("[crowd] peak %zu KiB, descriptors %zu, answered %d\n",
                node.peak_memory_bytes() / 1024, node.open_descriptors(),
                answered ? 1 : 0);
    CHECK_FALSE(node.has_ended());
    CHECK(node.peak_memory_bytes() <
          crowd_limits::memory_mb * crowd_limits::mebibyte);
    CHECK(node.open_descriptors() < crowd_limits::max_descriptors);
    CHECK(answered);
}

} // namespace parsleytrack::relay_support
