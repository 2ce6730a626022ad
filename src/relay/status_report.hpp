#pragma once

#include "relay/job_service.hpp"
#include "relay/relay_context.hpp"
#include "relay/slot_server.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

/// Reports the state of a node to operators.
class status_report
{
public:
    /// \param node Outlives this object, as do the other parameters.
    status_report(const relay_context& node, const slot_server& local_server,
                  const job_service& local_jobs);

    /// \param stopping Whether a planned stop is in progress.
    /// \returns A JSON document; the operators' page describes its fields.
    std::string json(bool stopping) const;

    /// Sets the gauges of the metrics to their current values.
    ///
    /// \param open_requests Number of online requests in progress.
    void update_gauges(std::size_t open_requests) const;

    /// Logs the number of calls to the store so far, and the age of the data
    /// read from it.
    void log_store_calls() const;

private:
    const relay_context& context;
    const slot_server& server;
    const job_service& jobs;
};

} // namespace parsleytrack::relay
