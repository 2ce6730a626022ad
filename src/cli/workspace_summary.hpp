#pragma once

#include <nlohmann/json_fwd.hpp>

namespace parsleytrack::cli
{

/// Sums what relay nodes report about workspaces.
///
/// \param statuses The status documents of the nodes, as a JSON array. Nodes
/// that are silent, or of a build that does not report workspaces, are counted
/// as "nodes_without_report".
/// \returns An object:
/// - "workspaces": for each workspace that a node lists its name, the limit and
///   priority of the newest configuration among those nodes, the number of its
///   keys, the sums of granted and refused requests, and the number of nodes
///   that list it; those with the most requests first.
/// - "others": the sums of the requests that nodes have counted for workspaces
///   that they do not list.
/// - "nodes", "nodes_without_report", and "window_ms": the window of the
///   counts.
nlohmann::json summarize_workspaces(const nlohmann::json& statuses);

} // namespace parsleytrack::cli
