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

/// How fresh the result of a read must be.
enum class read_freshness
{
    /// Includes all changes that were acknowledged before the read.
    latest,
    /// May be seconds old; cheaper for the store.
    may_be_stale
};

/// Converts operations of the record client to HTTP requests of one kind of
/// store, and the responses to results. Implementations keep no state.
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

    /// \param after The store returns changes after this revision.
    /// \param wait The longest time that the store may hold the request.
    virtual net::http_request watch_request(const std::string& prefix,
                                            store_revision after,
                                            duration wait) const = 0;
    virtual result<record_changes>
    parse_watch_response(const net::http_response& response) const = 0;

    virtual net::http_request
    commit_request(const record_transaction& transaction) const = 0;
    /// \returns The outcome. An error's `ran` is ran_state::no when the store
    /// has reported that it applied nothing.
    virtual result<transaction_outcome>
    parse_commit_response(const record_transaction& transaction,
                          const net::http_response& response) const = 0;
};

} // namespace parsleytrack::key_value
