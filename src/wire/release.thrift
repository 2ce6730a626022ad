// The current release, as exchanged between nodes.

namespace cpp parsleytrack.wire

struct release_reply {
  // 0 if the node knows no release.
  1: i64 version;
  // The record as stored in the platform's store.
  2: binary record;
}

// Remaining differences between an engine and the release.
struct engine_progress {
  1: string replica;
  2: list<string> to_load;
  3: list<string> to_unload;
  // What blocks the changes; empty if they are in progress.
  4: string waits_for;
}

struct release_progress_reply {
  1: string node;
  2: i64 version;
  3: list<engine_progress> engines;
}
