#include "cli/flags.hpp"

#include <gflags/gflags.h>

DEFINE_string(nodes, "127.0.0.1:8080",
              "HTTP addresses of nodes, tried in turn: IP:PORT,IP:PORT");
DEFINE_bool(json, false, "print what the node answered, for programs");
DEFINE_string(workspace, "operators", "workspace of a batch job");
DEFINE_int32(deadline_s, 0, "batch job: seconds until it must be complete");
DEFINE_string(key, "",
              "batch job: idempotency key; the same key finds the same job");
DEFINE_int64(expected_version, -1,
             "release apply: version that the note is meant to follow; "
             "-1 takes the version in force");
DEFINE_bool(relay, false, "settings check: the file is one of a relay node");
DEFINE_string(service, "", "addresses: the service to be called");
DEFINE_bool(wait, false,
            "job submit, release apply: wait until complete, with progress");
DEFINE_int32(timeout_s, 30, "longest time to wait for one answer");
