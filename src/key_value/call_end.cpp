#include "key_value/call_end.hpp"

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

call_end read_response(net::http_response response)
{
    call_end end;
    if (response.status == http_ok)
    {
        end.how = call_end::kind::answered;
        end.body = std::move(response.body);
        return end;
    }
    const bool lost = may_have_run(response.status);
    end.how = lost ? call_end::kind::lost : call_end::kind::refused;
    end.reason.code =
        lost ? error_code::store_unavailable : error_code::bad_request;
    end.reason.message =
        "the store answered " + std::to_string(response.status);
    return end;
}

call_end read_failure(const error& reason)
{
    call_end end;
    end.how = reason.ran == ran_state::no ? call_end::kind::not_sent
                                          : call_end::kind::lost;
    end.reason = reason;
    end.reason.code = error_code::store_unavailable;
    end.reason.ran = ran_state::no;
    return end;
}

} // namespace

call_end to_call_end(result<net::http_response> outcome)
{
    if (outcome.has_error())
    {
        return read_failure(outcome.error());
    }
    return read_response(std::move(outcome.value()));
}

} // namespace parsleytrack::key_value::detail
