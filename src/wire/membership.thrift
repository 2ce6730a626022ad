// Membership datagrams and the full view exchange.

namespace cpp parsleytrack.wire

enum member_state {
  alive = 1,
  suspect = 2,
  dead = 3
}

struct member {
  1: string id;
  2: i64 incarnation;
  3: member_state state;
  4: bool leaving;
  5: string peer_host;
  6: i32 peer_port;
  7: string http_host;
  8: i32 http_port;
  9: string availability_zone;
  10: bool entry_node;
  11: bool keeper;
  // Thousandths of a core.
  12: i32 capacity;
  // Identifies the process.
  13: i64 started_as;
  // The node cannot open connections to backend servers.
  14: optional bool stranded;
}

// A value of the gossip board.
struct board_value {
  1: string topic;
  2: string node;
  3: i64 version;
  4: binary value;
}

enum datagram_kind {
  probe = 1,
  acknowledgement = 2,
  indirect_probe = 3,
  gossip = 4
}

struct membership_datagram {
  1: datagram_kind kind;
  // Matches an acknowledgement to its probe.
  2: i64 sequence;
  3: string region;
  4: string sender;
  // The node that is probed or acknowledged.
  5: string subject;
  6: string subject_host;
  7: i32 subject_port;
  8: list<member> members;
  9: list<board_value> items;
}

// Version of the newest value that a node holds for a topic and a node.
struct held_value {
  1: string topic;
  2: string node;
  3: i64 version;
}

// Request or response of a full view exchange.
struct view {
  1: string region;
  2: string sender;
  3: list<member> members;
  // In a request: versions of the board values that the sender holds.
  4: list<held_value> known;
  // In a response: board values that the requester does not hold yet.
  5: list<board_value> items;
}

struct region_contact {
  1: string host;
  2: i32 port;
}

// Summary of a region for other regions.
struct region_state {
  1: string region;
  2: i64 version;
  3: i64 release;
  4: i32 nodes;
  5: list<region_contact> contacts;
}

struct region_state_list {
  1: list<region_state> regions;
}
