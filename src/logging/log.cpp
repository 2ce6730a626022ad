#include "logging/log.hpp"

#include "logging/bounded_sink.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <memory>

namespace parsleytrack
{

namespace
{

struct log_state
{
    std::shared_ptr<spdlog::logger> logger;
    std::string node;
};

time_point steady_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

std::shared_ptr<spdlog::logger> make_logger()
{
    auto sink =
        std::make_shared<detail::bounded_sink>(STDOUT_FILENO, steady_now);
    auto logger = std::make_shared<spdlog::logger>("parsleytrack", sink);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                        spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    return logger;
}

log_state& state()
{
    static log_state instance{make_logger(), {}};
    return instance;
}

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

void append_value(std::string& line, const std::string& value)
{
    const bool is_plain = !value.empty() && value.find_first_of(" \"=\n\r\t") ==
                                                std::string::npos;
    if (is_plain)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
    {
        if (character == '"' || character == '\\')
        {
            line += '\\';
        }
        const bool is_line_break = character == '\n' || character == '\r';
        line += is_line_break ? ' ' : character;
    }
    line += '"';
}

} // namespace

void configure_logging(log_level level, std::string_view node)
{
    state().logger->set_level(to_spdlog(level));
    state().node = std::string(node);
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (!state().logger->should_log(to_spdlog(level)))
    {
        return;
    }
    std::string line = "event=" + std::string(event);
    if (!state().node.empty())
    {
        line += " node=";
        append_value(line, state().node);
    }
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    state().logger->log(to_spdlog(level), line);
}

} // namespace parsleytrack
