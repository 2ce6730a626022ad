#pragma once

#include "decisions/catalogue_view.hpp"
#include "settings/node_settings.hpp"
#include "units/result.hpp"
#include "wire/generated/job_types.h"

#include <string_view>

namespace parsleytrack
{

/// Reads one line of a batch job: {"custom_id", "url", "body"}.
///
/// \param line The line.
/// \param node Names the plain services.
/// \param catalogue Names the service of each model.
/// \returns The item, or error_code::bad_request, error_code::unknown_model or
/// error_code::unknown_service with a sentence on what is wrong.
result<wire::stored_item> parse_batch_item(std::string_view line,
                                           const settings::node_settings& node,
                                           const catalogue_view& catalogue);

} // namespace parsleytrack
