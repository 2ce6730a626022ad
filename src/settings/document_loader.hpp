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
/// \param read_settings Reads the settings by means of an object_reader.
/// \returns The settings, or all that is wrong with them.
template <class ReadSettings>
auto parse_settings_document(std::string_view text, const std::string& name,
                             ReadSettings read_settings)
    -> std::variant<std::invoke_result_t<ReadSettings, object_reader&>,
                    findings>
{
    findings problems;
    const nlohmann::json document = parse_document(text, name, problems);
    if (!problems.empty())
    {
        return problems;
    }
    object_reader reader(document, name + ":", problems);
    auto settings = read_settings(reader);
    reader.report_unknown_fields();
    if (!problems.empty())
    {
        return problems;
    }
    return settings;
}

/// \param path A file of settings.
/// \param read_settings As for parse_settings_document().
/// \returns The settings, or why there are none.
template <class ReadSettings>
auto load_settings_document(const std::string& path, ReadSettings read_settings)
    -> std::variant<std::invoke_result_t<ReadSettings, object_reader&>,
                    findings>
{
    const auto text = read_settings_file(path);
    if (const auto* problems = std::get_if<findings>(&text))
    {
        return *problems;
    }
    return parse_settings_document(std::get<std::string>(text), path,
                                   read_settings);
}

} // namespace parsleytrack::settings::detail
