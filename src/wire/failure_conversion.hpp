#pragma once

#include "units/error.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::wire
{

/// \returns The payload of a frame of kind "failure".
std::string encode_failure(const error& reason);

/// \param payload The payload of a frame of kind "failure".
/// \returns The error; error_code::internal with ran_state::unknown if the
/// payload cannot be decoded.
error decode_failure(std::string_view payload);

} // namespace parsleytrack::wire
