#include "settings/settings_file.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace parsleytrack::settings::detail
{

std::variant<std::string, findings> read_settings_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return findings{
            {path, std::string("cannot be read: ") + std::strerror(errno)}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace parsleytrack::settings::detail
