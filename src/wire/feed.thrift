// Between a node that follows records of the platform's store and one that
// follows them through it.
namespace cpp parsleytrack.wire

// Opens a call of type record_feed. It stays open for as long as the records
// are wanted.
struct feed_question {
  1: string prefix;
  // The store's revision up to which the asker is complete; 0 for nothing.
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
  // What has changed since the last part.
  changes = 2,
  // Nothing has; shows that the sender lives and the store can be reached.
  unchanged = 3,
  // The sender does not reach the store.
  failing = 4,
}

// Each piece of the answer to a feed_question.
struct feed_part {
  1: feed_part_kind kind;
  2: list<feed_record> records;
  // The store's revision up to which the records are complete.
  3: i64 position;
}
