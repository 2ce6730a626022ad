#pragma once

#include "net/http_exchange.hpp"
#include "relay/address_request.hpp"
#include "relay/relay_context.hpp"

#include <memory>

namespace parsleytrack::relay
{

/// Answers address requests with the nodes to which callers can connect.
class address_service
{
public:
    /// \param node Outlives this object.
    explicit address_service(const relay_context& node);

    void respond(const std::shared_ptr<net::http_exchange>& exchange,
                 const address_request& request);

private:
    const relay_context& context;
};

} // namespace parsleytrack::relay
