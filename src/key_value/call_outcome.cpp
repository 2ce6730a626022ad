#include "key_value/call_outcome.hpp"

#include <utility>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_timeout = 408;
constexpr int http_too_many = 429;
constexpr int http_server_error = 500;

bool may_have_run(int status)
{
    return status >= http_server_error || status == http_timeout ||
           status == http_too_many;
}

call_outcome read_response(net::http_response response)
{
    call_outcome outcome;
    if (response.status == http_ok)
    {
        outcome.status = call_outcome::status_kind::succeeded;
        outcome.body = std::move(response.body);
        return outcome;
    }
    const bool is_unknown = may_have_run(response.status);
    outcome.status = is_unknown ? call_outcome::status_kind::unknown
                                : call_outcome::status_kind::rejected;
    outcome.reason.code =
        is_unknown ? error_code::store_unavailable : error_code::bad_request;
    outcome.reason.message = "the store responded with HTTP status " +
                             std::to_string(response.status);
    return outcome;
}

call_outcome read_failure(const error& reason)
{
    call_outcome outcome;
    outcome.status = reason.ran == ran_state::no
                         ? call_outcome::status_kind::not_sent
                         : call_outcome::status_kind::unknown;
    outcome.reason = reason;
    outcome.reason.code = error_code::store_unavailable;
    outcome.reason.ran = ran_state::no;
    return outcome;
}

} // namespace

call_outcome to_call_outcome(result<net::http_response> http_result)
{
    if (http_result.has_error())
    {
        return read_failure(http_result.error());
    }
    return read_response(std::move(http_result.value()));
}

} // namespace parsleytrack::key_value::detail
