#pragma once

#include "net/http_response.hpp"
#include "units/error.hpp"
#include "units/result.hpp"

#include <string>

namespace parsleytrack::key_value::detail
{

/// How one HTTP call to the store ended.
struct call_end
{
    enum class kind
    {
        /// Answered with 200.
        answered,
        /// Answered with an error that repeating will not cure.
        refused,
        /// Not sent; repeating may help.
        not_sent,
        /// Sent, and it is not known whether it took effect.
        lost
    };

    kind how = kind::not_sent;
    std::string body;
    /// Set unless answered.
    error reason;
};

/// \param outcome How the HTTP call ended.
/// \returns What follows for the call to the store.
call_end to_call_end(result<net::http_response> outcome);

} // namespace parsleytrack::key_value::detail
