// Messages about traits of requests under which replicas crash.
namespace cpp parsleytrack.wire

// A request that lost its replica before the end of its response.
struct trait_crash {
  1: string request;
  // Identifies the replica and its process.
  2: string replica_process;
  // What the request shares with others, the more specific traits last.
  3: list<string> traits;
  4: i64 age_ms;
  // Whether the replica had sent some output; earlier versions report only
  // replicas that had not, and do not send the field.
  5: optional bool after_output;
}

// A trait that a replica has survived.
struct trait_survival {
  1: string trait;
  2: i64 age_ms;
}

// Whether requests with a trait may be sent to replicas.
struct trait_verdict {
  1: string trait;
  2: bool blocked;
  // Increases with each verdict on the trait.
  3: i32 revision;
  // Time until one request may be tried.
  4: i64 trial_in_ms;
  5: i64 hold_ms;
}

// Request and response of a trait_inquiry call: what a node knows of traits.
struct trait_knowledge {
  // The traits asked about; empty in a response.
  1: list<string> traits;
  2: list<trait_crash> crashes;
  3: list<trait_survival> survivals;
  4: list<trait_verdict> verdicts;
}
