#pragma once

#include "net/http_exchange.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Passes each request on to the module that has asked for its path.
class http_router
{
public:
    using handler =
        std::function<void(const std::shared_ptr<net::http_exchange>&)>;

    /// \param method In capitals; empty stands for every method.
    /// \param path The path; one that ends in "/" stands for all that begin
    /// with it. The longest match wins.
    /// \param callback Gets the requests.
    void add(std::string method, std::string path, handler callback);

    /// Answers a request or passes it on.
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
