// Between a node that wants to use a replica's slot and the broker of the
// service.
namespace cpp parsleytrack.wire

// Opens a call of type slot_request. The call stays open for as long as the
// slot is wanted or used.
struct slot_order {
  1: string request;
  2: string service_name;
  // Routing priority; 0 is the most urgent.
  3: i32 priority;
  4: bool batch;
  // Time until the slot is of no use any more.
  5: i64 useful_for_ms;
  // Replicas that are not to be granted.
  6: list<string> excluded;
  7: string availability_zone;
  // Set when the slot is in use already, granted by another broker.
  8: string held_replica;
  // A slot is wanted even when the answer will be late.
  9: bool wait_when_late;
  // Which part of the service's replicas is asked for.
  10: i32 pool;
}

enum slot_verdict {
  granted = 1,
  refused = 2,
  // The holder is to give the slot back at once.
  reclaimed = 3,
  // The order waits; shows that the broker lives.
  queued = 4,
}

// Each piece of the answer to a slot_order.
struct slot_answer {
  1: slot_verdict verdict;
  2: string replica;
  // Refused: when asking again may help.
  3: i64 retry_after_ms;
  // Slots of the pool that are free, less the orders that wait.
  4: i32 spare;
}

// Opens a call of type slot_report: a request has failed at its replica.
struct replica_report {
  1: string request;
  2: string service_name;
  3: string replica;
  // Says itself that it is leaving, or is another one.
  4: bool leaving;
}
