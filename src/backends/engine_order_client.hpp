#pragma once

#include "backends/order_answer.hpp"
#include "decisions/engine_order.hpp"
#include "decisions/engine_state.hpp"
#include "net/http_client.hpp"
#include "units/time.hpp"

#include <functional>
#include <memory>

namespace parsleytrack::backends
{

/// Asks one engine for its state and gives it orders.
class engine_order_client
{
public:
    using state_callback = std::function<void(result<engine_state>)>;
    using order_callback = std::function<void(result<order_answer>)>;

    /// \param client The HTTP client.
    /// \param address Where the engine listens.
    /// \param timeout The longest time until an answer is complete.
    engine_order_client(net::http_client& client, endpoint address,
                        duration timeout);

    /// Asks for `GET /v1/state`.
    ///
    /// \returns The call; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<net::http_call>
    read_state(state_callback callback);

    /// Sends an order. After an error whose `ran` is unknown it may still take
    /// effect.
    ///
    /// \returns The call; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<net::http_call>
    send(const engine_order& order, order_callback callback);

private:
    net::http_client& http;
    endpoint target;
    duration timeout;
};

} // namespace parsleytrack::backends
