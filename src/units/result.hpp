#pragma once

#include "units/error.hpp"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

namespace parsleytrack
{

/// A value, or the error of a failed operation. Accessing the one that is not
/// present is undefined behaviour: check has_value() first.
template <class Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace parsleytrack
