#pragma once

#include "net/http_exchange.hpp"
#include "relay/address_question.hpp"
#include "relay/relay_context.hpp"

#include <memory>

namespace parsleytrack::relay
{

/// Tells callers which nodes to connect to.
class address_service
{
public:
    /// \param node Outlives this object.
    explicit address_service(const relay_context& node);

    void answer(const std::shared_ptr<net::http_exchange>& exchange,
                const address_question& question);

private:
    const relay_context& context;
};

} // namespace parsleytrack::relay
