#pragma once

#include "settings/node_settings.hpp"
#include "settings/object_reader.hpp"

namespace parsleytrack::settings::detail
{

/// Reads every field of a settings document.
///
/// \param reader The outermost object of the document.
/// \returns The settings; invalid when the reader has reported findings.
node_settings read_node_settings(object_reader& reader);

/// \param reader One element of "services".
service_settings read_service_settings(object_reader& reader);

} // namespace parsleytrack::settings::detail
