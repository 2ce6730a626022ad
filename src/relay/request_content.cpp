#include "relay/request_content.hpp"

#include "net/http_header_list.hpp"
#include "routing/content_trait.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>

namespace parsleytrack::relay
{

request_trait content_trait(const net::http_request_head& head,
                            std::string_view body)
{
    const std::string* host = net::find_header(head.headers, "Host");
    // A line feed occurs in none of these but the body.
    const std::string start = head.method + '\n' +
                              (host == nullptr ? std::string() : *host) + '\n' +
                              head.path + '\n' + head.raw_query + '\n';
    // Hashed in two parts, since a copy of a large body takes as much memory.
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
        XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    XXH3_128bits_update(state.get(), start.data(), start.size());
    XXH3_128bits_update(state.get(), body.data(), body.size());
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return request_trait(std::string(routing::content_prefix) + digits.data());
}

} // namespace parsleytrack::relay
