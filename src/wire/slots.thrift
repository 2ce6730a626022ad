// Messages between a node that requests a replica's slot and the broker of the
// service.
namespace cpp parsleytrack.wire

// Request of a slot_request call. The call stays open as long as the node waits
// for the slot or uses it.
struct slot_order {
  1: string request;
  2: string service_name;
  // Routing priority; 0 is the most urgent.
  3: i32 priority;
  4: bool batch;
  // Time until a grant is useless to the requester.
  5: i64 useful_for_ms;
  // Replicas that must not be granted.
  6: list<string> excluded;
  7: string availability_zone;
  // Set if the slot is already in use, granted by another broker.
  8: string held_replica;
  // Keep waiting for a slot even if the response will be late.
  9: bool wait_when_late;
  // The pool of the service's replicas to grant from.
  10: i32 pool;
  // Time until nobody waits for the response any more.
  11: optional i64 abandoned_in_ms;
  // The node that requests the slot.
  12: string node;
  // The software version that the replica must have; any if absent.
  13: optional string version;
  // Time after which other versions may be granted as well.
  14: optional i64 any_version_in_ms;
  // The caller's workspace; absent if there is none. Earlier versions do not
  // name it.
  15: optional string workspace;
}

enum slot_verdict {
  granted = 1,
  refused = 2,
  // The holder must release the slot immediately.
  reclaimed = 3,
  // The slot request is queued; a heartbeat that shows that the broker is live.
  queued = 4,
}

// What a response of a replica has said of its limit.
struct replica_limit {
  // Identifies the replica and its process.
  1: string process;
  // Whether it named a limit.
  2: bool named;
  // The requests that it takes from all nodes together.
  3: double requests_per_s;
  4: i64 age_ms;
}

// One part of the response to a slot_order.
struct slot_answer {
  1: slot_verdict verdict;
  2: string replica;
  // For "refused": when a retry may succeed.
  3: i64 retry_after_ms;
  // Free slots of the pool minus queued slot requests.
  4: i32 spare;
  // For "granted": what the broker knows of the replica's limit, if it has ever
  // named one.
  5: optional replica_limit limit;
}

// Request of a slot_report call: a request failed at its replica.
struct replica_report {
  1: string request;
  2: string service_name;
  3: string replica;
  // The replica reported that it is leaving or is a different replica.
  4: bool leaving;
  // Identifies the replica and its process.
  5: string process;
  // What the replica has said of its limit, if that has changed.
  6: optional replica_limit limit;
  // The connection to the replica has ended or did not open; earlier versions
  // do not say so.
  7: optional bool lost;
}
