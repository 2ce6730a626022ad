#pragma once

#include "key_value/record_transaction.hpp"
#include "units/numbers.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Last known values of the records that count the tokens waiting on each
/// route. A transaction that changes one is conditional on its revision, so an
/// outdated value costs a repetition and never an error.
class usage_tracker
{
public:
    struct usage
    {
        token_count waiting;
        store_revision revision;
    };

    /// \returns What is known of the route; zero when nothing is.
    usage get(const std::string& route_name) const;

    /// Takes in a record as it was read or returned by a conflict.
    void update(const std::string& route_name,
                const key_value::stored_record& record);

    /// Takes in the route's record from those of a conflict.
    ///
    /// \returns Whether it was among them.
    bool update_from(const std::string& route_name,
                     const std::vector<key_value::stored_record>& current);

    /// Takes in a value that was written.
    void set(const std::string& route_name, usage value);

private:
    std::map<std::string, usage> values;
};

} // namespace parsleytrack::relay
