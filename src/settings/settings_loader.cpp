#include "settings/settings_loader.hpp"

#include "settings/document_loader.hpp"
#include "settings/settings_reader.hpp"

namespace parsleytrack::settings
{

load_outcome parse_settings(std::string_view text, const std::string& name)
{
    return detail::parse_settings_document(text, name,
                                           detail::read_node_settings);
}

load_outcome load_settings(const std::string& path)
{
    return detail::load_settings_document(path, detail::read_node_settings);
}

} // namespace parsleytrack::settings
