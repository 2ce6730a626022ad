#pragma once

#include <string>

namespace parsleytrack::cli
{

/// HTTP response of a node.
struct node_response
{
    int status = 0;
    std::string body;

    /// \returns Whether the status is a success (2xx).
    bool ok() const { return this->status >= 200 && this->status < 300; }
};

} // namespace parsleytrack::cli
