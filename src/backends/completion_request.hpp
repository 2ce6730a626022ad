#pragma once

#include "units/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::backends
{

/// What is to be known of a request in the OpenAI shape before it is sent.
struct completion_request
{
    /// The model's or adapter's name.
    std::string model;
    /// Whether the caller wants server-sent events.
    bool stream = false;
    /// Hashes of the prompt's blocks, as the engines' cache events name them.
    std::vector<std::uint64_t> prefix_hashes;
};

/// \param body The JSON body.
/// \returns What it asks for, or error_code::bad_request.
result<completion_request> parse_completion(std::string_view body);

/// Changes a body so that an engine streams its answer and goes on after text
/// that an earlier attempt has generated.
///
/// \param body The JSON body, as parse_completion() accepts it.
/// \param resume_text The text so far; may be empty.
/// \returns The body to send.
std::string with_resume(std::string_view body, const std::string& resume_text);

/// \param prompt A prompt as text.
/// \returns The hashes of its whole blocks.
std::vector<std::uint64_t> prefix_hashes_of(std::string_view prompt);

} // namespace parsleytrack::backends
