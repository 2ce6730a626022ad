// Messages to and between keepers: bulk segments, and copies of the store's
// records.

namespace cpp parsleytrack.wire

struct segment_content {
  1: string id;
  2: binary bytes;
}

struct segment_name {
  1: string id;
}

// Request: segments to look up. Response: those that the keeper does not have.
struct segment_name_list {
  1: list<string> ids;
}

// A copy of a record; only a higher version replaces it.
struct record_copy {
  1: string name;
  2: i64 version;
  3: binary bytes;
}

struct record_query {
  1: string prefix;
}

struct record_copy_list {
  1: list<record_copy> records;
}
