#include "settings/log_level_reader.hpp"

#include <cstddef>

namespace parsleytrack::settings::detail
{

void read_log_level(object_reader& reader, log_level& level)
{
    reader.object("log",
                  [&level](object_reader& section)
                  {
                      const std::size_t chosen = section.choice(
                          "level", {"debug", "info", "warning", "error"}, 1);
                      level = static_cast<log_level>(chosen);
                  });
}

} // namespace parsleytrack::settings::detail
