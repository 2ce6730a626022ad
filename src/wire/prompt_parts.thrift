// Messages about parts of prompts under which replicas crash.
namespace cpp parsleytrack.wire

// A request that lost its replica before its output.
struct part_crash {
  1: string request;
  // Identifies the replica and its process.
  2: string replica_process;
  // The parts that the prompt shares with others, in their order.
  3: list<string> parts;
  4: i64 age_ms;
}

// A part that a replica has survived.
struct part_survival {
  1: string part;
  2: i64 age_ms;
}

// Whether requests with a part may be sent to replicas.
struct part_verdict {
  1: string part;
  2: bool blocked;
  // Increases with each verdict on the part.
  3: i32 revision;
  // Time until one request may be tried.
  4: i64 trial_in_ms;
  5: i64 hold_ms;
}

// Request and response of a part_inquiry call: what a node knows of parts.
struct part_knowledge {
  // The parts asked about; empty in a response.
  1: list<string> parts;
  2: list<part_crash> crashes;
  3: list<part_survival> survivals;
  4: list<part_verdict> verdicts;
}
