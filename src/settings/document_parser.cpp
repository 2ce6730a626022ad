#include "settings/document_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace parsleytrack::settings::detail
{

namespace
{

using json = nlohmann::json;

constexpr int max_nesting_depth = 32;

std::size_t line_number(std::string_view text, std::size_t position)
{
    const std::size_t end = std::min(position, text.size());
    return 1 + static_cast<std::size_t>(
                   std::count(text.begin(), text.begin() + end, '\n'));
}

/// Parser callback that reports fields that occur twice in one object.
class repeated_field_detector
{
public:
    repeated_field_detector(const std::string& name, findings& collected)
        : document_name(name), problems(collected)
    {
    }

    bool operator()(int depth, json::parse_event_t event, const json& parsed)
    {
        if (event == json::parse_event_t::object_start)
        {
            this->fields_by_depth.resize(static_cast<std::size_t>(depth) + 2);
            this->fields_by_depth.back().clear();
        }
        if (event == json::parse_event_t::key)
        {
            const auto level = static_cast<std::size_t>(depth);
            this->fields_by_depth.resize(level + 1);
            const auto field = parsed.get<std::string>();
            if (!this->fields_by_depth[level].insert(field).second)
            {
                this->problems.push_back(
                    {this->document_name,
                     "field \"" + field + "\" occurs twice in one object"});
            }
        }
        return true;
    }

private:
    const std::string& document_name;
    findings& problems;
    std::vector<std::set<std::string>> fields_by_depth;
};

/// \returns Whether brackets are nested more deeply than in any valid settings
/// document. Checked before parsing, because the parser recurses without limit.
bool exceeds_max_depth(std::string_view text)
{
    int depth = 0;
    for (const char character : text)
    {
        depth += character == '{' || character == '[' ? 1 : 0;
        depth -= character == '}' || character == ']' ? 1 : 0;
        if (depth > max_nesting_depth)
        {
            return true;
        }
    }
    return false;
}

} // namespace

json parse_document(std::string_view text, const std::string& name,
                    findings& problems)
{
    if (exceeds_max_depth(text))
    {
        problems.push_back({name, "is nested too deeply"});
        return nullptr;
    }
    try
    {
        return json::parse(text.begin(), text.end(),
                           repeated_field_detector(name, problems), true, true);
    }
    catch (const json::parse_error& failure)
    {
        problems.push_back(
            {name + ":" + std::to_string(line_number(text, failure.byte)),
             std::string("is not valid JSON: ") + failure.what()});
        return nullptr;
    }
}

} // namespace parsleytrack::settings::detail
