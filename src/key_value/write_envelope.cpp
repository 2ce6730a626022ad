#include "key_value/write_envelope.hpp"

namespace parsleytrack::key_value
{

namespace
{

// The first word of every envelope; the number is the version of the format.
constexpr std::string_view envelope_header = "envelope1";

} // namespace

std::string encode_envelope(const write_envelope& envelope)
{
    std::string bytes(envelope_header);
    for (const std::string& id : envelope.write_ids)
    {
        bytes += ' ';
        bytes += id;
    }
    bytes += '\n';
    bytes += envelope.value;
    return bytes;
}

std::optional<write_envelope> decode_envelope(std::string_view bytes)
{
    const std::size_t head_end = bytes.find('\n');
    if (head_end == std::string_view::npos ||
        !bytes.starts_with(envelope_header))
    {
        return std::nullopt;
    }
    write_envelope envelope;
    envelope.value = std::string(bytes.substr(head_end + 1));
    std::string_view head = bytes.substr(0, head_end);
    head.remove_prefix(envelope_header.size());
    while (!head.empty())
    {
        if (head.front() != ' ')
        {
            return std::nullopt;
        }
        head.remove_prefix(1);
        const std::string_view id = head.substr(0, head.find(' '));
        if (id.empty())
        {
            return std::nullopt;
        }
        envelope.write_ids.emplace_back(id);
        head.remove_prefix(id.size());
    }
    return envelope;
}

std::vector<std::string> extend_write_ids(const std::string& write_id,
                                          std::vector<std::string> replaced)
{
    replaced.insert(replaced.begin(), write_id);
    if (replaced.size() > max_write_ids)
    {
        replaced.resize(max_write_ids);
    }
    return replaced;
}

} // namespace parsleytrack::key_value
