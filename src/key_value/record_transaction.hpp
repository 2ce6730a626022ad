#pragma once

#include "key_value/stored_record.hpp"
#include "units/numbers.hpp"

#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// A transaction is applied only if the key has this revision.
struct record_condition
{
    std::string key;
    /// 0 means that the key must be absent.
    store_revision revision;
};

/// A key and the value that a transaction writes to it.
struct record_put
{
    std::string key;
    std::string value;
};

/// An atomic change of several keys.
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
    /// The revision of the written keys.
    store_revision revision;
    /// If it was not applied: the current state of the conditions' keys.
    std::vector<stored_record> current;
};

} // namespace parsleytrack::key_value
