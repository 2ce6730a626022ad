#pragma once

#include "decisions/placement.hpp"
#include "units/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace parsleytrack
{

/// What is agreed of one call that must not run twice.
struct once_entry
{
    enum class stage
    {
        /// The holder of the claim may have sent the call.
        intended,
        /// The answer is kept here or in a segment.
        answered,
        /// It has run; its answer could not be kept.
        answer_dropped
    };

    /// Checksum of method, path and body.
    std::string fingerprint;
    /// Drawn at random by the one caller that may send the call.
    std::uint64_t claim = 0;
    node_id holder;
    /// Seconds since 1970.
    std::int64_t created_s = 0;
    stage state = stage::intended;
    int status = 0;
    std::string content_type;
    std::string body;
    /// Where the body is when it is too large for the entry.
    placement body_segment;

    /// \returns About the bytes that the entry takes in a page.
    std::size_t size() const
    {
        constexpr std::size_t fixed_bytes = 80;
        constexpr std::size_t placement_bytes = 100;
        return fixed_bytes + this->fingerprint.size() +
               this->content_type.size() + this->body.size() +
               (this->body_segment.segment.empty() ? 0 : placement_bytes);
    }

    bool operator==(const once_entry&) const = default;
};

} // namespace parsleytrack
