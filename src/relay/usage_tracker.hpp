#pragma once

#include "jobs/usage_account.hpp"
#include "key_value/record_transaction.hpp"
#include "units/numbers.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Remembers the last known values of the records that count the tokens waiting
/// on each account. A transaction that changes one is conditional on its
/// revision, so an outdated value costs a retry but never causes an error.
class usage_tracker
{
public:
    struct usage
    {
        token_count waiting;
        store_revision revision;
    };

    /// \returns The last known usage of the account; zero when it is unknown.
    usage get(const jobs::usage_account& account) const;

    /// Updates the usage from a record that was read or returned by a conflict.
    void update(const jobs::usage_account& account,
                const key_value::stored_record& record);

    /// Updates the usage from the account's record among those of a conflict.
    ///
    /// \returns Whether the account's record was among them.
    bool update_from(const jobs::usage_account& account,
                     const std::vector<key_value::stored_record>& current);

    /// Records a value that was written.
    void set(const jobs::usage_account& account, usage value);

private:
    std::map<jobs::usage_account, usage> values;
};

} // namespace parsleytrack::relay
