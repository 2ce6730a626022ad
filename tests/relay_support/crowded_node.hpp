#pragma once

#include "relay_support/caller_crowd.hpp"
#include "relay_support/relay_fleet.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace parsleytrack::relay_support
{

/// The crowd of callers that the tests of one node send to it, and the node's
/// limits. The body limit is a quarter of the deployments', so that a small
/// crowd is enough: its bodies together are larger than the node's memory.
struct crowd_limits
{
    static constexpr std::size_t mebibyte = 1024 * 1024;
    static constexpr int memory_mb = 64;
    static constexpr std::size_t max_body = mebibyte;
    static constexpr std::size_t caller_count = 100;
    /// What is missing of the bodies that stop short.
    static constexpr std::size_t missing_bytes = 100;
    /// Piece size of callers that send all at once.
    static constexpr std::size_t whole = 64 * mebibyte;
    /// Descriptors of a node without callers are below 60.
    static constexpr std::size_t max_descriptors = 60 + 2 * caller_count;
};

/// \param framing Header fields that tell where the body ends.
/// \returns The head of a request with a body.
std::string crowd_head(const std::string& path, const std::string& framing,
                       const std::string& id = "crowd");

/// \param bytes Declared length of the body.
/// \returns The head of a request.
std::string declared_head(const std::string& path, std::size_t bytes,
                          const std::string& id = "crowd");

/// \returns A job of one item whose document has almost a size.
std::string large_submission(std::size_t bytes);

/// A node, a crowd that sends to it, and what must hold afterwards.
class crowded_node
{
public:
    explicit crowded_node(std::size_t piece_bytes, bool has_proxies = false);
    explicit crowded_node(std::size_t piece_bytes,
                          const relay_fleet_options& options);

    /// \returns The options of a node with the limits of these tests.
    static relay_fleet_options limited(bool has_proxies);

    /// Makes the store read nothing and answer nothing, or ends that.
    void set_store_silent(bool silent);

    /// Makes the replicas read nothing and answer nothing, or ends that.
    void set_replicas_silent(bool silent);

    /// Makes the callers added from now on send to another address of a node.
    ///
    /// \param number The node whose limits are checked.
    void aim_at(const endpoint& target, int number = 0);

    /// Adds callers that send a text to the node's address for requests, from
    /// several client addresses if `address_count` is more than one.
    void add(std::size_t count, std::string text);

    /// Adds callers that each submit a job of almost the body limit.
    void add_jobs(std::size_t count);

    /// Sends everything, and checks that the node survives it within its
    /// limits and answers another caller while the crowd stays.
    ///
    /// \param when_sent Called before the other caller sends its request.
    void check(const std::function<void()>& when_sent = {});

    /// Closes the connections of the crowd.
    void disperse();

    /// Number of client addresses of the callers that are added.
    std::size_t address_count = 1;

    relay_fleet& fleet() { return this->nodes; }

private:
    relay_fleet nodes;
    std::size_t piece;
    endpoint target;
    int tested_node = 0;
    std::unique_ptr<caller_crowd> crowd;
};

} // namespace parsleytrack::relay_support
