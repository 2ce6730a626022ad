#pragma once

#include <string_view>

namespace parsleytrack
{

/// Why an operation failed or a request was refused.
enum class error_code
{
    bad_request,
    /// The caller has not shown a key of a workspace.
    unauthorized,
    bad_settings,
    too_large,
    not_found,
    unknown_service,
    unknown_model,
    conflict,
    overloaded,
    workspace_limit,
    deadline_exceeded,
    shutting_down,
    no_replica,
    /// A gate returned the request instead of queueing it; another replica may
    /// have a free slot.
    passed_back,
    store_unavailable,
    store_outcome_unknown,
    too_few_keepers,
    peer_unreachable,
    connection_lost,
    backend_failed,
    cancelled,
    may_have_run,
    corrupt_data,
    storage_failed,
    lease_lost,
    internal
};

/// \returns The name of the code in responses, logs and metric labels.
std::string_view to_string(error_code code);

/// \param name A name as returned by to_string().
/// \returns The code, or error_code::internal for an unknown name.
error_code error_code_from_string(std::string_view name);

} // namespace parsleytrack
