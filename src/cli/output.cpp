#include "cli/output.hpp"

#include "cli/flags.hpp"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace parsleytrack::cli
{

namespace
{

using json = nlohmann::json;

void print_error_detail(const json& detail)
{
    std::cerr << "refused: " << detail.value("message", "no message was given")
              << " (" << detail.value("reason", "unknown") << ")\n";
    if (detail.contains("findings") && detail["findings"].is_array())
    {
        for (const json& problem : detail["findings"])
        {
            std::cerr << "  " << cell(problem, "place") << ": "
                      << cell(problem, "message") << '\n';
        }
    }
    if (detail.value("ran", "") == "unknown")
    {
        std::cerr << "It may have taken effect: check before repeating it.\n";
    }
    const auto wait = detail.find("retry_after_ms");
    if (wait != detail.end() && wait->is_number())
    {
        std::cerr << "Try again in " << *wait << " ms.\n";
    }
}

} // namespace

exit_code print_failure(const result<node_response>& response)
{
    if (response.has_error())
    {
        const error& reason = response.error();
        std::cerr << "unreachable: " << reason.message << ".\n"
                  << "Check --nodes and that the daemon runs there.\n";
        if (reason.ran == ran_state::unknown)
        {
            std::cerr << "The request may have taken effect: check before "
                         "repeating it.\n";
        }
        return exit_code::unreachable;
    }
    const json body = json::parse(response.value().body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object())
    {
        print_error_detail(body["error"]);
        return exit_code::refused;
    }
    std::cerr << "refused with HTTP status " << response.value().status << ": "
              << response.value().body << '\n';
    return exit_code::refused;
}

exit_code print_response(const result<node_response>& response,
                         const std::function<void(const json&)>& print)
{
    const bool succeeded = response.has_value() && response.value().ok();
    if (FLAGS_json && response.has_value())
    {
        std::cout << response.value().body << '\n';
        return succeeded ? exit_code::done : exit_code::refused;
    }
    if (!succeeded)
    {
        return print_failure(response);
    }
    const json body = json::parse(response.value().body, nullptr, false);
    if (body.is_discarded())
    {
        std::cerr << "the node's response is not JSON\n";
        return exit_code::refused;
    }
    print(body);
    return exit_code::done;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        std::cerr << path << ": cannot be read: " << std::strerror(errno)
                  << '\n';
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string cell(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string cell(const json& object, const char* field)
{
    if (!object.is_object() || !object.contains(field) ||
        object[field].is_null())
    {
        return "-";
    }
    return cell(object[field]);
}

} // namespace parsleytrack::cli
