#pragma once

#include "net/http_response.hpp"
#include "units/error.hpp"
#include "units/result.hpp"

#include <string>

namespace parsleytrack::key_value::detail
{

/// The outcome of one HTTP call to the store.
struct call_outcome
{
    enum class status_kind
    {
        /// The response had status 200.
        succeeded,
        /// The response was an error that a retry would get again.
        rejected,
        /// The call was not sent; a retry may succeed.
        not_sent,
        /// The call was sent, and it is not known whether it took effect.
        unknown
    };

    status_kind status = status_kind::not_sent;
    std::string body;
    /// Set unless the call succeeded.
    error reason;
};

/// Classifies the result of an HTTP call by whether a retry can succeed and
/// whether the call may have taken effect.
call_outcome to_call_outcome(result<net::http_response> http_result);

} // namespace parsleytrack::key_value::detail
