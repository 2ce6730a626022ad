// Records of jobs and lots in the platform's store, their bulk segments, and
// notifications about them between nodes.

namespace cpp parsleytrack.wire

struct placement {
  1: string segment;
  2: list<string> holders;
}

struct lot_input {
  1: placement input;
  2: i32 items;
}

struct job_record {
  1: string workspace;
  // Identifies the submitted body.
  2: string fingerprint;
  // Wall clock time.
  3: i64 deadline_ms;
  4: i64 created_ms;
  5: i32 items;
  6: list<lot_input> lots;
  7: bool cancelled;
  // Every item of every lot has ended.
  8: bool ended;
  9: string region;
}

struct lot_record {
  1: string owner;
  2: i64 epoch;
  3: i64 claim;
  4: i64 commit_number;
  5: list<placement> results;
  6: i32 items;
  // One bit per item, lowest bit first.
  7: binary ended;
  8: binary intended;
}

// One item of an input segment.
struct stored_item {
  1: string custom_id;
  2: string url;
  3: binary body;
  4: string service_name;
  5: string model;
  6: bool non_idempotent;
}

struct stored_item_list {
  1: list<stored_item> items;
}

// One result of a result segment.
struct stored_result {
  1: i32 index;
  2: string custom_id;
  // Numeric value of parsleytrack::item_status.
  3: i32 status;
  4: i32 http_status;
  5: binary body;
  // Name of the parsleytrack::error_code.
  6: string reason;
  7: string message;
}

struct stored_result_list {
  1: list<stored_result> results;
}

enum nudge_kind {
  // To the coordinator: a job was accepted.
  job_accepted = 1,
  // To a node: take ownership of these lots.
  own_lots = 2,
  // To the coordinator: all items of these lots have ended.
  lots_ended = 3,
  // To all nodes: the job was cancelled.
  job_cancelled = 4,
  // To the coordinator: these lots were handed over.
  lots_released = 5
}

struct lot_reference {
  1: string job;
  2: i32 lot;
  3: i64 deadline_ms;
}

struct job_nudge {
  1: nudge_kind kind;
  2: list<lot_reference> lots;
}
