// Messages between a node that follows records of the platform's store and a
// node that follows them through it.
namespace cpp parsleytrack.wire

// Request of a record_feed call, which stays open as long as the client follows
// the records.
struct feed_question {
  1: string prefix;
  // The store's revision up to which the client has all records; 0 for none.
  2: i64 position;
}

struct feed_record {
  1: string key;
  2: binary value;
  3: i64 revision;
  4: bool deleted;
}

enum feed_part_kind {
  // All records.
  all = 1,
  // Records changed since the last part.
  changes = 2,
  // No change; sent when the store has confirmed the records again.
  unchanged = 3,
  // The sender cannot reach the store.
  failing = 4,
  // All records as the sender last knew them; it cannot reach the store.
  last_known = 5,
}

// One part of the response to a feed_question.
struct feed_part {
  1: feed_part_kind kind;
  2: list<feed_record> records;
  // The store's revision up to which the records are complete.
  3: i64 position;
  // How long before the sender sent this part the store had confirmed the
  // records. Without it, the build before sent the part when it believed to
  // reach the store: the receiver takes the part's arrival for the confirmation.
  4: optional i64 age_ms;
}
