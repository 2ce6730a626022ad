#include "decisions/release_note.hpp"

#include <xxhash.h>

namespace parsleytrack
{

namespace
{

void append(std::string& text, const std::vector<release_note::entry>& entries)
{
    for (const release_note::entry& entry : entries)
    {
        text += entry.what == release_note::kind::model ? 'm' : 'a';
        for (const std::string& part : {entry.name, entry.version, entry.owner})
        {
            text += std::to_string(part.size());
            text += ':';
            text += part;
        }
    }
    text += ';';
}

} // namespace

std::uint64_t digest_of(const release_note& note)
{
    std::string text;
    append(text, note.added);
    append(text, note.changed);
    append(text, note.withdrawn);
    return XXH64(text.data(), text.size(), 0);
}

} // namespace parsleytrack
