#include "units/error_code.hpp"

#include <array>
#include <cstddef>

namespace parsleytrack
{

namespace
{

constexpr std::array<std::string_view, 26> names = {
    "bad_request",       "unauthorized",
    "bad_settings",      "too_large",
    "not_found",         "unknown_service",
    "unknown_model",     "conflict",
    "overloaded",        "workspace_limit",
    "deadline_exceeded", "shutting_down",
    "no_replica",        "passed_back",
    "store_unavailable", "store_outcome_unknown",
    "too_few_keepers",   "peer_unreachable",
    "connection_lost",   "backend_failed",
    "cancelled",         "may_have_run",
    "corrupt_data",      "storage_failed",
    "lease_lost",        "internal"};

static_assert(names.size() ==
              static_cast<std::size_t>(error_code::internal) + 1);

} // namespace

std::string_view to_string(error_code code)
{
    return names.at(static_cast<std::size_t>(code));
}

error_code error_code_from_string(std::string_view name)
{
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        if (names.at(index) == name)
        {
            return static_cast<error_code>(index);
        }
    }
    return error_code::internal;
}

} // namespace parsleytrack
