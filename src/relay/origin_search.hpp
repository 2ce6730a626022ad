#pragma once

#include "net/event_loop.hpp"
#include "relay/stream_origins.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace parsleytrack::relay
{

/// Finds out what began a stream that a caller takes up again: from memory,
/// from the storage nodes, or because only one version was in use.
class origin_search
{
public:
    /// \param origin Absent if it cannot be known.
    using callback =
        std::function<void(const std::optional<stream_origin>& origin)>;

    /// \param event_loop Outlives this object, as does \p memory.
    /// \param on_end Called once, never from the constructor; must not destroy
    /// this object.
    origin_search(net::event_loop& event_loop, stream_origins& memory,
                  origin_inquiry wanted, callback on_end);
    ~origin_search() { *this->alive = false; }
    origin_search(const origin_search&) = delete;
    origin_search& operator=(const origin_search&) = delete;

private:
    void start();
    void ask();
    void handle_reply(const result<origin_reply>& reply);
    void add(const origin_reply& reply);
    /// \returns What began the stream if nothing else can have begun it.
    std::optional<stream_origin> only_candidate() const;
    /// Ends the search with what must have begun the stream, once the store has
    /// confirmed that no other version is in use.
    void confirm(const std::optional<stream_origin>& candidate);
    void finish(const std::optional<stream_origin>& origin);

    net::event_loop& loop;
    stream_origins& origins;
    origin_inquiry inquiry;
    callback ended_callback;
    std::vector<std::unique_ptr<wire::peer_call>> calls;
    std::size_t pending = 0;
    /// Nodes that have observed the list of replicas for long enough.
    std::size_t observers = 0;
    std::vector<stream_origin> candidates;
    /// Whether a node remembers what was in use before it was started again,
    /// and that.
    bool is_remembered = false;
    std::vector<stream_origin> remembered;
    bool is_confirming = false;
    net::timer next_step;
    time_point ask_until;
    /// Set to false by the destructor, for a read of the store in progress.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack::relay
