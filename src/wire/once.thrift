// At-most-once calls: pages in the platform's store, and operations that one
// node requests from another.

namespace cpp parsleytrack.wire

struct once_record {
  1: string fingerprint;
  2: i64 claim;
  3: string holder;
  4: i64 created_s;
  // Numeric value of parsleytrack::once_entry::stage.
  5: i32 stage;
  6: i32 status;
  7: string content_type;
  8: binary body;
  9: string segment;
  10: list<string> segment_holders;
}

struct once_page {
  1: map<string, once_record> entries;
}

struct once_request {
  // Numeric value of parsleytrack::once_operation::kind.
  1: i32 kind;
  2: string key;
  3: once_record entry;
}

struct once_reply {
  // Numeric value of parsleytrack::once_outcome::kind.
  1: i32 kind;
  2: once_record entry;
}
