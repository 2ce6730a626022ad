#include "settings/settings_loader.hpp"

#include "settings/document_parser.hpp"
#include "settings/object_reader.hpp"
#include "settings/settings_file.hpp"
#include "settings/settings_reader.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::settings
{

load_outcome parse_settings(std::string_view text, const std::string& name)
{
    findings problems;
    const nlohmann::json document =
        detail::parse_document(text, name, problems);
    if (!problems.empty())
    {
        return problems;
    }
    detail::object_reader reader(document, name + ":", problems);
    node_settings settings = detail::read_node_settings(reader);
    reader.finish();
    if (!problems.empty())
    {
        return problems;
    }
    return settings;
}

load_outcome load_settings(const std::string& path)
{
    const auto text = detail::read_settings_file(path);
    if (const auto* problems = std::get_if<findings>(&text))
    {
        return *problems;
    }
    return parse_settings(std::get<std::string>(text), path);
}

} // namespace parsleytrack::settings
