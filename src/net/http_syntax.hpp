#pragma once

#include "net/http_header_list.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::net
{

struct http_request;

/// \returns Whether the text may stand in a request line as it is: it begins
/// with a slash and has neither blanks nor control characters, which would end
/// the target or the line.
bool is_request_target(std::string_view text);

/// \returns Whether the text is the name of a header field.
bool is_field_name(std::string_view text);

/// \returns Whether the text may be the value of a header field: it has no
/// control characters but tabs.
bool is_field_value(std::string_view text);

/// \returns Whether the field says where the body of a message ends.
bool is_framing_field(const std::string& name);

/// \returns Whether the client sends requests of this method.
bool is_supported_method(std::string_view method);

/// \returns What makes a request impossible to write as it is, or its end
/// ambiguous; nullptr if nothing does.
const char* find_syntax_error(const http_request& request);

} // namespace parsleytrack::net
