#include "net/body_framing.hpp"

#include <strings.h>

#include <algorithm>

namespace parsleytrack::net
{

namespace
{

constexpr std::string_view blanks = " \t\r";

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

bool is_same_word(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool is_number(std::string_view value)
{
    return !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](char letter)
                       { return letter >= '0' && letter <= '9'; });
}

} // namespace

bool is_framing_clear(std::string_view head)
{
    int framing_fields = 0;
    bool is_framing_field = false;
    while (!head.empty())
    {
        const std::string_view line = head.substr(0, head.find('\n'));
        head.remove_prefix(std::min(line.size() + 1, head.size()));
        const bool continues_field =
            line.starts_with(' ') || line.starts_with('\t');
        if (is_framing_field && continues_field)
        {
            return false;
        }
        const std::size_t colon = std::min(line.find(':'), line.size());
        const std::string_view name = trim(line.substr(0, colon));
        const std::string_view value =
            trim(line.substr(std::min(colon + 1, line.size())));
        const bool is_length = is_same_word(name, "Content-Length");
        const bool is_coding = is_same_word(name, "Transfer-Encoding");
        if ((is_length && !is_number(value)) ||
            (is_coding && !is_same_word(value, "chunked")))
        {
            return false;
        }
        is_framing_field = is_length || is_coding;
        framing_fields += is_framing_field ? 1 : 0;
    }
    return framing_fields <= 1;
}

} // namespace parsleytrack::net
