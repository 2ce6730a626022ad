#include "process_support/temporary_folder.hpp"

#include <cstdlib>
#include <stdexcept>

namespace parsleytrack::process_support
{

temporary_folder::temporary_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "parsleytrack-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create " + pattern);
    }
    this->folder = pattern;
}

temporary_folder::~temporary_folder()
{
    // The logs of a failure that is rare are needed when it shows.
    if (std::getenv("PARSLEYTRACK_KEEP_TEST_FOLDERS") != nullptr)
    {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

} // namespace parsleytrack::process_support
