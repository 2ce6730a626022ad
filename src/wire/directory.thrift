// The platform's list of backend servers, as exchanged between nodes.

namespace cpp parsleytrack.wire

struct listed_replica {
  1: string id;
  2: string service_name;
  3: string host;
  4: i32 port;
  5: string availability_zone;
  6: bool leaving;
}

struct directory_reply {
  // False if the node has not read the list yet.
  1: bool known;
  2: i64 revision;
  3: list<listed_replica> replicas;
}
