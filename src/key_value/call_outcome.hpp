#pragma once

#include "net/http_response.hpp"
#include "units/error.hpp"
#include "units/result.hpp"

#include <string>

namespace parsleytrack::key_value::detail
{

/// How one HTTP call to the store ended.
struct call_outcome
{
    enum class status_kind
    {
        /// Answered with 200.
        succeeded,
        /// Answered with an error that repeating will not cure.
        rejected,
        /// Not sent; repeating may help.
        not_sent,
        /// Sent, and it is not known whether it took effect.
        unknown
    };

    status_kind status = status_kind::not_sent;
    std::string body;
    /// Set unless answered.
    error reason;
};

/// \param outcome How the HTTP call ended.
/// \returns What follows for the call to the store.
call_outcome to_call_outcome(result<net::http_response> http_result);

} // namespace parsleytrack::key_value::detail
