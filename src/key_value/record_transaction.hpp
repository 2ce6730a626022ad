#pragma once

#include "key_value/stored_record.hpp"
#include "units/numbers.hpp"

#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// What must hold for a transaction to be applied.
struct record_condition
{
    std::string key;
    /// 0 stands for "the key must be absent".
    store_revision revision;
};

/// A value that a transaction writes.
struct record_put
{
    std::string key;
    std::string value;
};

/// Changes of several keys, all or nothing.
struct record_transaction
{
    std::vector<record_condition> conditions;
    std::vector<record_put> puts;
    std::vector<std::string> erased;
};

/// The known outcome of a transaction.
struct transaction_outcome
{
    bool applied = false;
    /// The revision of what was written.
    store_revision revision;
    /// When it was not applied: the keys of the conditions as they are now.
    std::vector<stored_record> current;
};

} // namespace parsleytrack::key_value
