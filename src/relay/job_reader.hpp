#pragma once

#include "jobs/job_page.hpp"
#include "relay/relay_context.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace parsleytrack::relay
{

/// Reads jobs that other nodes own: from the owner, or from the store when the
/// owner does not answer.
class job_reader
{
public:
    /// Gets a page; error_code::not_found when there is no such job, and
    /// error_code::store_unavailable when that is not known.
    using page_callback = std::function<void(result<jobs::job_page>)>;

    /// \param node Outlives this object.
    explicit job_reader(const relay_context& node);

    /// Reads results from a position onward.
    ///
    /// \param wait How long the owner may wait for one.
    void read(const job_id& job, std::size_t after, duration wait,
              page_callback callback);

private:
    void ask_owner(const node_info& owner, const job_id& job, std::size_t after,
                   duration wait, page_callback callback);
    void find_owner(const job_id& job, std::size_t after, duration wait,
                    page_callback callback);
    void read_store(const job_id& job, std::size_t after,
                    page_callback callback);

    const relay_context& context;
    std::map<job_id, node_id> owners;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> calls;
    std::uint64_t next_number = 1;
};

} // namespace parsleytrack::relay
