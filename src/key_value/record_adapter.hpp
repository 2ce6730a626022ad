#pragma once

#include "key_value/record_transaction.hpp"
#include "key_value/stored_record.hpp"
#include "net/http_request.hpp"
#include "net/http_response.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <optional>
#include <string>

namespace parsleytrack::key_value
{

/// How fresh the answer to a read must be.
enum class read_freshness
{
    /// Includes every change that was acknowledged before the read.
    latest,
    /// May be seconds old; costs the store less.
    may_be_stale
};

/// Translates the calls of the record client into the HTTP calls of one kind
/// of store. An adapter implements it; it keeps no state.
class record_adapter
{
public:
    virtual ~record_adapter() = default;

    virtual net::http_request get_request(const std::string& key,
                                          read_freshness freshness) const = 0;
    virtual result<stored_record>
    parse_get_response(const std::string& key,
                       const net::http_response& response) const = 0;

    /// \param after Only keys greater than this one; empty for all.
    virtual net::http_request list_request(const std::string& prefix,
                                           const std::string& after,
                                           read_freshness freshness) const = 0;
    virtual result<record_listing>
    parse_list_response(const net::http_response& response) const = 0;

    /// \param after The revision from which on changes are wanted.
    /// \param wait The longest time that the store may hold the call.
    virtual net::http_request watch_request(const std::string& prefix,
                                            store_revision after,
                                            duration wait) const = 0;
    virtual result<record_changes>
    parse_watch_response(const net::http_response& response) const = 0;

    virtual net::http_request
    commit_request(const record_transaction& transaction) const = 0;
    /// \returns The outcome. An error's `ran` is ran_state::no when the store
    /// has said that it did nothing.
    virtual result<transaction_outcome>
    parse_commit_response(const record_transaction& transaction,
                          const net::http_response& response) const = 0;
};

} // namespace parsleytrack::key_value
