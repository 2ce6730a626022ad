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

/// \param text A settings document.
/// \param name Names the document in findings, such as its path.
/// \param read_settings Reads the settings from an object_reader.
/// \returns The settings, or all findings when the document is invalid.
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

/// \param path A settings file.
/// \param read_settings As for parse_settings_document().
/// \returns The settings, or all findings when the file is unreadable or
/// invalid.
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
