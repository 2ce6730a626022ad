#pragma once

#include "jobs/job_page.hpp"
#include "relay/read_admission.hpp"
#include "relay/relay_context.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// \returns The reason for a read that has failed and may be repeated.
error read_failed(const job_id& job);

/// Reads results and bodies of jobs from the store. Requests for one job wait
/// for its read that is under way, which answers all that it brings something
/// for; so the memory depends neither on their number nor on the job's size.
class job_record_reader
{
public:
    /// Gets a page with at least one result, or an error. The claim is the room
    /// for it, empty if it has none.
    using page_callback = std::function<void(const result<jobs::job_page>&,
                                             read_admission::claim room)>;
    /// Gets the body; error_code::not_found if the job or item does not exist.
    using body_callback = std::function<void(const result<std::string>&,
                                             read_admission::claim room)>;

    /// \param node Outlives this object.
    /// \param reads Outlives this object.
    job_record_reader(const relay_context& node, read_admission& reads);

    /// Reads results from a position at which the job is known to have one.
    ///
    /// \param total Number of items in the job.
    void read_results(const job_id& job, std::size_t after, std::size_t total,
                      page_callback callback);

    /// Reads the body of an item as it was submitted.
    void read_body(const job_id& job, const std::string& item,
                   body_callback callback);

private:
    struct results_request
    {
        std::size_t after = 0;
        std::size_t total = 0;
        page_callback callback;
        time_point since;
    };
    struct body_request
    {
        std::string item;
        body_callback callback;
        time_point since;
    };
    using results_queue = std::deque<results_request>;
    using body_queue = std::deque<body_request>;

    void begin_results(const job_id& job);
    void handle_results(const job_id& job, std::size_t first,
                        const result<key_value::record_listing>& listing,
                        const read_admission::claim& room);
    /// Ends the requests that a read does not answer, and begins the next read.
    void go_on_with_results(const job_id& job, results_queue left);
    void begin_bodies(const job_id& job, key_value::read_freshness freshness,
                      const read_admission::claim& room);
    void handle_bodies(const job_id& job, key_value::read_freshness freshness,
                       const result<key_value::stored_record>& record,
                       const read_admission::claim& room);
    /// Answers the requests that wait for the bodies of a job.
    void answer_bodies(const job_id& job,
                       const std::function<void(const body_request&)>& answer);

    const relay_context& context;
    read_admission& admission;
    /// The requests of the jobs whose records are being read.
    std::map<job_id, results_queue> results;
    std::map<job_id, body_queue> bodies;
};

} // namespace parsleytrack::relay
