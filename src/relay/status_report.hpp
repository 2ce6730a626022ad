#pragma once

#include "relay/job_service.hpp"
#include "relay/relay_context.hpp"
#include "relay/slot_server.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

/// What a node believes and does, for operators.
class status_report
{
public:
    /// \param node Outlives this object, as do the others.
    status_report(const relay_context& node, const slot_server& local_server,
                  const job_service& local_jobs);

    /// \param stopping Whether a planned stop is under way.
    /// \returns A JSON document; its fields are on the operators' page.
    std::string json(bool stopping) const;

    /// Brings the gauges of the metrics up to date.
    ///
    /// \param open_requests Online requests under way.
    void update_gauges(std::size_t open_requests) const;

    /// Logs the calls to the store so far, and how old its news are.
    void log_store_calls() const;

private:
    const relay_context& context;
    const slot_server& server;
    const job_service& jobs;
};

} // namespace parsleytrack::relay
