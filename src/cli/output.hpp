#pragma once

#include "cli/exit_code.hpp"
#include "cli/node_response.hpp"
#include "units/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string>

namespace parsleytrack::cli
{

/// Prints a response: the unchanged body with --json, otherwise formatted.
///
/// \param response The response, or the error that prevented one.
/// \param print Prints the parsed body of a successful response.
/// \returns The exit code of the command. Without --json, refusals and
/// failures are described on the standard error stream; failures to get a
/// response also with it.
exit_code
print_response(const result<node_response>& response,
               const std::function<void(const nlohmann::json&)>& print);

/// Prints to the standard error stream why a request failed and what to do
/// next.
///
/// \param response An unsuccessful response, or the error that prevented one.
/// \returns exit_code::refused for a response, otherwise
/// exit_code::unreachable.
exit_code print_failure(const result<node_response>& response);

/// \param path A file.
/// \returns Its contents; nullopt, after a message on the standard error
/// stream, when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// \param value A field of a response.
/// \returns The value as text for a table cell.
std::string cell(const nlohmann::json& value);

/// \param object An object of a response.
/// \param field The name of one of its fields.
/// \returns The field as text for a table cell; "-" when missing or null.
std::string cell(const nlohmann::json& object, const char* field);

} // namespace parsleytrack::cli
