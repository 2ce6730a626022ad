#pragma once

#include <string>

namespace parsleytrack::cli
{

/// What a node has answered.
struct node_response
{
    int status = 0;
    std::string body;

    /// \returns Whether the node has done what was asked.
    bool ok() const { return this->status >= 200 && this->status < 300; }
};

} // namespace parsleytrack::cli
