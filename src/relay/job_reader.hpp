#pragma once

#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "relay/job_record_reader.hpp"
#include "relay/read_admission.hpp"
#include "relay/relay_context.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace parsleytrack::relay
{

/// Reads jobs that other nodes own: from the owner, or from the store if the
/// owner does not respond.
class job_reader
{
public:
    /// Gets a page; error_code::not_found if the job does not exist, and
    /// error_code::store_unavailable if it could not be read.
    /// The claim is the room of the page, empty if it has none.
    using page_callback = job_record_reader::page_callback;

    /// \param node Outlives this object.
    /// \param reads Admits the reads of large records; outlives this object.
    job_reader(const relay_context& node, read_admission& reads);

    /// Reads results starting at a position.
    ///
    /// \param wait How long the owner may wait for a result.
    void read(const job_id& job, std::size_t after, duration wait,
              page_callback callback);

    /// The same, beginning with the record in the store, without waiting.
    void read_stored(const job_id& job, std::size_t after,
                     page_callback callback);

    /// Gets the body; error_code::not_found if the job or item does not exist.
    using body_callback = job_record_reader::body_callback;

    /// Reads the body of an item as it was submitted.
    void read_body(const job_id& job, const std::string& item,
                   body_callback callback);

private:
    /// A read that is in progress.
    struct read_request
    {
        job_id job;
        std::size_t after = 0;
        duration wait = duration::zero();
        page_callback callback;
        /// Nodes to which the read was sent; none is tried twice.
        std::set<node_id> queried_nodes;
    };
    using shared_request = std::shared_ptr<read_request>;

    bool send_to_node(const shared_request& request, const node_id& node);
    /// \returns Whether the page of an owner lacks what this node has seen.
    bool is_outdated(const read_request& request, const jobs::job_page& page);
    void read_state(const shared_request& request);
    void handle_state(const shared_request& request,
                      const result<key_value::stored_record>& record);
    const relay_context& context;
    job_record_reader records;
    /// Owners found in the store, for jobs whose owner is not the preferred
    /// one.
    std::map<job_id, node_id> owners;
    /// The number of results that have passed through this node, by job.
    std::map<job_id, std::size_t> results_seen;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> calls;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::relay
