#include "cli/flags.hpp"

#include <gflags/gflags.h>

DEFINE_string(nodes, "127.0.0.1:8080",
              "HTTP addresses of nodes, tried in turn: IP:PORT,IP:PORT");
DEFINE_bool(json, false, "print JSON, for use by scripts");
DEFINE_string(workspace, "operators", "workspace of a batch job");
DEFINE_int32(deadline_s, 0, "batch job: deadline in seconds after submission");
DEFINE_string(key, "",
              "batch job: idempotency key; submitting again with the same key "
              "returns the same job");
DEFINE_int64(expected_version, -1,
             "release apply: version that the note is based on; -1 uses the "
             "version in force");
DEFINE_bool(relay, false,
            "settings check: the file holds the settings of a relay node");
DEFINE_string(service, "", "addresses, load: name of the service");
DEFINE_bool(wait, false,
            "job submit, release apply: wait until complete, with progress");
DEFINE_int32(
    timeout_s, 30,
    "longest time in seconds to wait for a response or for more of it");
