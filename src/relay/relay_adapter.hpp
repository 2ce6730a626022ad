#pragma once

#include "jobs/job_input.hpp"
#include "jobs/job_page.hpp"
#include "key_value/record_adapter.hpp"
#include "net/http_request_head.hpp"
#include "relay/address_request.hpp"
#include "relay/header_names.hpp"
#include "relay/job_call.hpp"
#include "relay/store_keys.hpp"
#include "routing/configuration.hpp"
#include "routing/replica_entry.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/result.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// Converts between the formats of a platform and the relay's own types.
/// Implementations keep no state and make no decisions.
class relay_adapter
{
public:
    virtual ~relay_adapter() = default;

    virtual const header_names& headers() const = 0;
    virtual const store_keys& keys() const = 0;
    virtual const key_value::record_adapter& records() const = 0;

    /// \param value The configuration that operators have written.
    virtual result<routing::configuration>
    parse_configuration(std::string_view value) const = 0;

    /// \param key The key of the entry.
    /// \param value The entry that the replica has written.
    virtual result<routing::replica_entry>
    parse_replica(const std::string& key, std::string_view value) const = 0;

    /// \returns The caller's key; absent when the request shows none, or more
    /// than one.
    virtual std::optional<std::string>
    parse_key(const net::http_header_list& headers) const = 0;

    /// \returns The parts of a request's prompt that other requests may share,
    /// in their order; empty when the request has no prompt.
    virtual std::vector<request_trait>
    parse_prompt_parts(const net::http_header_list& headers) const = 0;

    /// \returns The maximum number of output tokens of a request; absent if it
    /// does not name it.
    virtual std::optional<token_count>
    parse_output_tokens(const net::http_header_list& headers) const = 0;

    /// \returns The address request; absent when the HTTP request is another
    /// one.
    virtual std::optional<address_request>
    parse_address_request(const net::http_request_head& head) const = 0;
    virtual std::string
    format_address_response(const address_response& response) const = 0;

    /// \returns The job call; absent when the HTTP request is another one.
    virtual std::optional<job_call>
    parse_job_call(const net::http_request_head& head) const = 0;
    /// \returns The items of a submission, or error_code::bad_request.
    virtual result<std::vector<jobs::job_item>>
    parse_submission(std::string_view body) const = 0;
    virtual std::string format_results(const jobs::job_page& page,
                                       std::size_t after) const = 0;

    /// \returns The value that reports the state of a retirement to operators.
    virtual std::string format_retirement_state(bool completed) const = 0;
};

} // namespace parsleytrack::relay
