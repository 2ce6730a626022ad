#pragma once

#include "net/http_exchange.hpp"
#include "relay/caller_wait_estimator.hpp"
#include "relay/online_call.hpp"
#include "relay/relay_context.hpp"
#include "relay/slot_client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace parsleytrack::relay
{

/// Accepts online requests and runs an online_call for each.
class online_service
{
public:
    /// \param node Outlives this object.
    /// \param slot_source Outlives this object.
    online_service(const relay_context& node, slot_client& slot_source);

    /// Handles a request whose head has been received.
    ///
    /// \param table The current configuration.
    /// \param route The route that matches the request.
    /// \param workspace The caller's workspace, kept by the table; null if it
    /// has none.
    /// \param closes_at When this node closes its connections in a planned
    /// stop; a request that may last longer is refused.
    void handle_request(const std::shared_ptr<net::http_exchange>& exchange,
                        std::shared_ptr<const routing::route_table> table,
                        const routing::route& route,
                        const workspaces::workspace* workspace,
                        std::optional<time_point> closes_at);

    std::size_t open_calls() const { return this->calls.size(); }

private:
    void start(const std::shared_ptr<net::http_exchange>& exchange,
               online_request request);
    /// Reviews the services of all waiting requests, once for all changes so
    /// far.
    void schedule_review();

    const relay_context& context;
    slot_client& slots;
    std::map<std::uint64_t, std::unique_ptr<online_call>> calls;
    caller_wait_estimator wait_estimator;
    std::uint64_t next_number = 1;
    bool review_is_scheduled = false;
};

} // namespace parsleytrack::relay
