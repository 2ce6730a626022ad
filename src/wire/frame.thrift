// The frame that carries all messages between two nodes.

namespace cpp parsleytrack.wire

enum frame_kind {
  // Opens a call; the payload is the request.
  request = 1,
  // One part of a response, other than the last.
  part = 2,
  // The last part of a response.
  last = 3,
  // The call failed; the payload is a struct failure.
  failure = 4,
  // The caller cancelled the call.
  cancel = 5
}

struct frame {
  1: i64 call_id;
  2: frame_kind kind;
  // Type of the request; see wire/message_type.hpp.
  3: i32 message_type;
  4: binary payload;
}

// The payload of a frame of kind "failure".
struct failure {
  // Name of the parsleytrack::error_code.
  1: string reason;
  2: string message;
  // Whether the request may have reached a backend server.
  3: bool may_have_run;
  // Absent if a retry does not help.
  4: optional i64 retry_after_ms;
}
