#pragma once

#include "allotments/allotment_refusal.hpp"
#include "allotments/allotment_services.hpp"
#include "allotments/node_allotments.hpp"
#include "net/timer.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/result.hpp"
#include "wire/peer_call.hpp"
#include "wire/peer_exchange.hpp"
#include "workspaces/workspace.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleytrack::allotments
{

class allotment_client;

/// A claim for one request of a workspace. The destructor withdraws it, or
/// returns the request unless use() was called. Must not outlive its client.
class allotment_claim
{
public:
    allotment_claim(allotment_client& owner, std::uint64_t claim_number)
        : client(owner), number(claim_number)
    {
    }
    ~allotment_claim();
    allotment_claim(const allotment_claim&) = delete;
    allotment_claim& operator=(const allotment_claim&) = delete;

    /// Counts the request as sent, to be called before it may reach a replica.
    void use();

private:
    allotment_client& client;
    /// 0 once the request counts as sent.
    std::uint64_t number;
};

/// Obtains permission to send the requests of limited workspaces, and serves
/// the other nodes for the workspaces that this node owns. Registers the
/// handler of wire::message_type::allotment_lease. See
/// docs/design/allotments.md.
class allotment_client
{
public:
    explicit allotment_client(const allotment_services& node);
    allotment_client(const allotment_client&) = delete;
    allotment_client& operator=(const allotment_client&) = delete;

    /// Claims one request. One of the callbacks is called once, possibly before
    /// claim() returns; none is called after the claim was destroyed. A
    /// callback may destroy the claim.
    ///
    /// \param limit The workspace's limit; a request of a workspace without one
    /// is granted at once.
    /// \param version The configuration that the limit is from.
    /// \param on_granted The request may be sent.
    /// \param on_refused The request must not be sent: 429 if it is over the
    /// limit, otherwise 503.
    [[nodiscard]] std::unique_ptr<allotment_claim>
    claim(const workspace_name& workspace, const workspaces::allotment& limit,
          configuration_version version, std::function<void()> on_granted,
          std::function<void(allotment_refusal)> on_refused);

    /// Ends a claim; called by claims only.
    ///
    /// \param used Whether the request counts as sent.
    void end(std::uint64_t number, bool used);

private:
    struct callbacks
    {
        std::function<void()> on_granted;
        std::function<void(allotment_refusal)> on_refused;
    };

    void update_view();
    void tick();
    void run_commands();
    void run(const grant_command& command);
    void run(const refuse_command& command);
    void run(const send_command& command);
    void handle_outcome(lease_call_number number,
                        const result<std::string>& outcome);
    /// Adds what was decided since the last call to the metrics.
    void export_counts();
    void
    handle_peer_request(const std::shared_ptr<wire::peer_exchange>& exchange);

    allotment_services services;
    node_allotments decisions;
    std::map<std::uint64_t, callbacks> waiting;
    std::map<lease_call_number, std::unique_ptr<wire::peer_call>> calls;
    node_allotments::counts exported;
    /// As last handed to the decisions.
    std::size_t lost_nodes = 0;
    net::timer tick_timer;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::allotments
