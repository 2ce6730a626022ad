// Messages about the quotas of workspaces over all nodes.
namespace cpp parsleytrack.wire

// Request of an allotment_lease call, to the owner of a workspace.
struct allotment_order {
  1: string workspace;
  // The limit as the sender knows it, and the configuration that it is from.
  2: double requests_per_s;
  3: double burst;
  4: i64 configuration;
  // Requests that wait for an answer.
  5: i32 needed;
  // Requests that are wanted in all, those that are expected included.
  6: i32 wanted;
  // Requests of an earlier lease that were not and will not be sent.
  7: i32 returned;
  // The term of the lease that they are from.
  8: i64 term;
  // Requests that were sent without a lease while the owner did not respond.
  9: i32 sent_alone;
}

// Response of an allotment_lease call.
struct allotment_answer {
  // Whether the node owns the workspace. If not, nothing else counts.
  1: bool is_owner;
  2: i32 granted;
  // Identifies the owner's bucket; one that starts anew gets another term.
  3: i64 term;
  // If less than needed was granted: when a request may be granted again.
  4: i64 refilled_in_us;
}
