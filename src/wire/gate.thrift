// Messages between an entry node and the gate of a replica.

namespace cpp parsleytrack.wire

struct header_field {
  1: string name;
  2: string value;
}

// Request of a gate_forward call.
struct forward_order {
  1: string request;
  2: string service_name;
  3: string replica;
  4: string workspace;
  5: string method;
  // Path and query at the backend server.
  6: string target;
  7: list<header_field> headers;
  8: binary body;
  9: i64 time_left_ms;
  // The first attempt is 1.
  10: i32 attempt;
  // Requires a new connection, since a reused one may be closing: a failed
  // connect must prove that nothing was sent.
  11: bool send_once;
  // Hashes of the prompt's blocks, as in an engine's cache events.
  12: list<i64> prefix_hashes;
  // Whether the deadline applies to the first part of the response rather than
  // to the whole response.
  13: bool stream;
  // Refuse the request instead of queueing it: another replica may have a free
  // slot.
  14: bool may_pass_back;
}

// Load of one replica, in small integers to keep the encoding short.
struct replica_load {
  // Hash of the replica's id.
  1: i32 replica;
  2: i16 slots;
  3: i16 online_running;
  4: i16 batch_running;
  // Online requests queued ahead of a new one.
  5: i16 online_ahead;
  // Predicted time until a new request produces its first output.
  6: i32 predicted_ms;
  // Recently measured time from sending to the first output.
  7: i32 first_output_ms;
  8: bool usable;
}

// Loads of the replicas whose gate a node is, published to other nodes.
struct replica_load_list {
  1: list<replica_load> replicas;
}

// First part of the response to a forward_order; the other parts are the body.
struct forward_head {
  1: i32 status;
  2: list<header_field> headers;
  3: replica_load load;
}
