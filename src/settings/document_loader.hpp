#pragma once

#include "settings/document_parser.hpp"
#include "settings/object_reader.hpp"
#include "settings/settings_file.hpp"
#include "units/finding.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace parsleytrack::settings::detail
{

/// \param text A document of settings.
/// \param name What stands for the document in findings.
/// \param read Reads the settings by means of an object_reader.
/// \returns The settings, or all that is wrong with them.
template <class Read>
auto parse_as(std::string_view text, const std::string& name, Read read)
    -> std::variant<std::invoke_result_t<Read, object_reader&>, findings>
{
    findings problems;
    const nlohmann::json document = parse_document(text, name, problems);
    if (!problems.empty())
    {
        return problems;
    }
    object_reader reader(document, name + ":", problems);
    auto settings = read(reader);
    reader.finish();
    if (!problems.empty())
    {
        return problems;
    }
    return settings;
}

/// \param path A file of settings.
/// \param read As for parse_as().
/// \returns The settings, or why there are none.
template <class Read>
auto load_as(const std::string& path, Read read)
    -> std::variant<std::invoke_result_t<Read, object_reader&>, findings>
{
    const auto text = read_settings_file(path);
    if (const auto* problems = std::get_if<findings>(&text))
    {
        return *problems;
    }
    return parse_as(std::get<std::string>(text), path, read);
}

} // namespace parsleytrack::settings::detail
