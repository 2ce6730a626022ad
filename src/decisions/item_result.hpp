#pragma once

#include "decisions/item_status.hpp"
#include "units/error_code.hpp"

#include <string>

namespace parsleytrack
{

/// The one result of a batch item.
struct item_result
{
    /// Position within the lot.
    int index = 0;
    item_status status = item_status::failed;
    /// Status and body of the backend server's answer; 0 where there is none.
    int http_status = 0;
    std::string body;
    /// Why there is no answer.
    error_code reason = error_code::internal;
    std::string message;

    bool operator==(const item_result&) const = default;
};

} // namespace parsleytrack
