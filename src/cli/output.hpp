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

/// Prints an answer: as it is with --json, otherwise by a function.
///
/// \param answer The answer, or why there is none.
/// \param print Prints the parsed body of a successful answer.
/// \returns How the command ends; refusals and failures were explained on the
/// standard error stream.
exit_code
print_response(const result<node_response>& response,
               const std::function<void(const nlohmann::json&)>& print);

/// Explains an answer that is no success on the standard error stream, and
/// what to do next.
exit_code print_failure(const result<node_response>& response);

/// \param path A file.
/// \returns Its contents; empty and a message on the standard error stream
/// when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// \param value A field of an answer.
/// \returns It as a cell of a table.
std::string cell(const nlohmann::json& value);

/// \param object An object of an answer.
/// \param field One of its fields.
/// \returns The field as a cell of a table; "-" when it is missing.
std::string cell(const nlohmann::json& object, const char* field);

} // namespace parsleytrack::cli
