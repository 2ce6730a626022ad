#pragma once

#include "net/http_exchange.hpp"
#include "relay/address_request.hpp"
#include "relay/relay_context.hpp"

#include <memory>

namespace parsleytrack::relay
{

/// Responds to address requests with the nodes that callers can connect to.
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
