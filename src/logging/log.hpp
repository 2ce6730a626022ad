#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace parsleytrack
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One key=value pair of a log line.
struct log_field
{
    std::string key;
    std::string value;

    log_field(std::string_view field_key, std::string_view text)
        : key(field_key), value(text)
    {
    }

    log_field(std::string_view field_key, std::integral auto number)
        : key(field_key), value(std::to_string(number))
    {
    }

    log_field(std::string_view field_key, double number)
        : key(field_key), value(std::to_string(number))
    {
    }
};

/// Sets the minimum level and the node name that each line contains.
///
/// \param level The lowest level that is written.
/// \param node The value of the key "node", which is omitted when empty.
void configure_logging(log_level level, std::string_view node);

/// Writes one line of key=value pairs to the standard output. The line is
/// dropped when the reader is too slow or the rate limit is exceeded; see
/// detail::bounded_sink.
///
/// \param event The name of the event, in snake_case.
/// \param fields Details of the event.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace parsleytrack
