// Messages about the software versions of the replicas that began streams.
namespace cpp parsleytrack.wire

// The service and the software version that began a stream.
struct stream_origin {
  // The caller's attempt that brought the first event.
  1: string request;
  2: string service_name;
  3: string version;
  // How much longer the stream may be taken up.
  4: i64 keep_ms;
}

// Request of a stream_origin_notice call, to a storage node.
struct stream_origin_notice {
  1: list<stream_origin> origins;
}

// Request of a stream_origin_inquiry call, to a storage node.
struct stream_origin_inquiry {
  1: string request;
  // The services that may have begun the stream.
  2: list<string> services;
  // The stream has begun within this time.
  3: i64 within_ms;
}

// A version of a service that was in use.
struct service_version {
  1: string service_name;
  2: string version;
}

// Response of a stream_origin_inquiry call.
struct stream_origin_reply {
  1: optional stream_origin origin;
  // Whether the node has followed the list of replicas all the time.
  2: bool has_observed;
  // The versions of the services that were in use in this time.
  3: list<service_version> versions;
  // Whether the versions include those that were in use before this node was
  // started again.
  4: optional bool remembers;
}

// Record of a storage node in the platform's store.
struct storage_node_record {
  1: string address;
  // The versions that were in use lately.
  2: list<service_version> versions;
}
