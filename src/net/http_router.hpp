#pragma once

#include "net/http_exchange.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Dispatches each request to the handler registered for its path.
class http_router
{
public:
    using handler =
        std::function<void(const std::shared_ptr<net::http_exchange>&)>;

    /// Registers a handler.
    ///
    /// \param method In upper case; empty matches every method.
    /// \param path An exact path, or a prefix if it ends in "/". The longest
    /// match wins.
    void add(std::string method, std::string path, handler callback);

    /// Calls the matching handler, or responds with 404 for an unknown path and
    /// 400 for an unknown method.
    void dispatch(const std::shared_ptr<net::http_exchange>& exchange) const;

private:
    struct route
    {
        std::string method;
        std::string path;
        handler callback;
    };

    std::vector<route> routes;
};

} // namespace parsleytrack
