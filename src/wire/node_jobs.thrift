// Records of batch jobs in the platform's store, and calls about them between
// nodes.
namespace cpp parsleytrack.wire

struct node_job_header {
  1: string name;
  2: string value;
}

struct node_job_item {
  1: string id;
  2: string target;
  3: list<node_job_header> headers;
  4: binary body;
  5: i64 tokens;
}

// Written once, with the job's acceptance.
struct node_job_input {
  1: string job;
  2: string route_name;
  3: string host;
  4: list<node_job_item> items;
  // Unix milliseconds of the first submission.
  5: i64 submitted_at_ms;
  // Version of the configuration by which the job was accepted.
  6: i64 configuration;
  // The workspace that submitted the job; absent if there were none.
  7: optional string workspace;
}

// The outcome of one item. Its position in the list never changes.
struct node_job_outcome {
  1: i32 item;
  2: bool completed;
}

// Changes with each commit.
struct node_job_state {
  1: string job;
  2: string route_name;
  // Node that runs the job, and its process.
  3: string owner;
  4: i64 owner_life;
  5: bool cancelled;
  6: list<node_job_outcome> outcomes;
  // Unix milliseconds.
  7: i64 submitted_at_ms;
  8: i32 item_count;
  // The job's tokens that count towards the route's usage.
  9: i64 waiting_tokens;
  // Lower bound of the job's age when this was written.
  10: i64 age_ms;
  // The workspace that submitted the job; absent if there were none.
  11: optional string workspace;
  // The newest version of the configuration that an owner has known.
  12: optional i64 configuration;
}

// Tokens of accepted items without an outcome, over all jobs of a route, or
// over those of one workspace on it.
struct node_job_usage {
  1: i64 waiting_tokens;
}

// Output received so far for an item without an outcome.
struct node_job_partial {
  1: i32 item;
  2: i64 last_event;
  3: binary output;
  // The software version of the replicas that sent the output.
  4: optional string version;
  // The service of these replicas.
  5: optional string service_name;
}

struct node_job_progress {
  1: list<node_job_partial> items;
}

// Request of a node_job_read call, to the owner.
struct node_job_read {
  1: string job;
  2: i32 after;
  3: i64 wait_ms;
}

struct node_job_result {
  1: string item;
  2: bool completed;
  3: binary output;
}

struct node_job_page {
  1: i32 total;
  2: list<node_job_result> results;
}

// Request of a node_job_handover call, from the node that accepted the job to
// the node that will run it.
struct node_job_handover {
  1: binary input;
  2: binary state;
  3: i64 revision;
}

// Request of a node_job_news call: another node changed the job's record.
struct node_job_news {
  1: string job;
  // Revision of the record that the sender has seen; 0 for a change whose
  // revision is not known.
  2: i64 revision;
}
