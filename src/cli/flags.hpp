#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(nodes);
DECLARE_bool(json);
DECLARE_string(workspace);
DECLARE_int32(deadline_s);
DECLARE_string(key);
DECLARE_int64(expected_version);
DECLARE_bool(relay);
DECLARE_string(service);
DECLARE_bool(wait);
DECLARE_int32(timeout_s);
DECLARE_bool(help);
