#pragma once

#include "units/strong_id.hpp"

namespace parsleytrack
{

/// A parsleytrackd process, identified by the id in its settings.
using node_id = strong_id<struct node_id_tag>;
/// One backend server of a service.
using replica_id = strong_id<struct replica_id_tag>;
/// One process of a replica, which may restart under the same replica_id.
using replica_process_id = strong_id<struct replica_process_id_tag>;
/// Version of a replica's software; there is no order between versions.
using software_version = strong_id<struct software_version_tag>;
/// A service: a set of interchangeable replicas.
using service_name = strong_id<struct service_name_tag>;
/// A model that engines can load.
using model_name = strong_id<struct model_name_tag>;
/// The caller's workspace, the unit of fairness and of limits.
using workspace_name = strong_id<struct workspace_name_tag>;
/// A region: a group of availability zones that are close to each other.
using region_name = strong_id<struct region_name_tag>;
using availability_zone_name = strong_id<struct availability_zone_name_tag>;
/// One request of a caller; all its attempts share the id.
using request_id = strong_id<struct request_id_tag>;
/// A batch job.
using job_id = strong_id<struct job_id_tag>;
/// What requests that crash replicas may have in common: a part of their
/// prompts, or all of their content.
using request_trait = strong_id<struct request_trait_tag>;
/// Calls with the same key take effect at most once.
using idempotency_key = strong_id<struct idempotency_key_tag>;
/// An immutable file of items or results, identified by its checksum.
using segment_id = strong_id<struct segment_id_tag>;
/// A release note; the operator who writes it chooses the id.
using note_id = strong_id<struct note_id_tag>;

} // namespace parsleytrack
