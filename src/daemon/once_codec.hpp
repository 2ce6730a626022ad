#pragma once

#include "decisions/once_operation.hpp"
#include "decisions/once_outcome.hpp"
#include "decisions/once_page.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack
{

/// Bytes of a page as it stands in the platform's store.
std::string encode_once_page(const once_page& page);
result<once_page> decode_once_page(std::string_view bytes);

/// Bytes of an operation and its outcome, as nodes send them. The times of an
/// operation are not sent.
std::string encode_once_operation(const once_operation& operation);
result<once_operation> decode_once_operation(std::string_view bytes);
std::string encode_once_outcome(const once_outcome& outcome);
result<once_outcome> decode_once_outcome(std::string_view bytes);

} // namespace parsleytrack
