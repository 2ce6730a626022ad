#pragma once

#include "relay/job_service.hpp"
#include "relay/relay_context.hpp"
#include "relay/slot_desk.hpp"

#include <string>

namespace parsleytrack::relay
{

/// What a node believes and does, for operators.
class status_report
{
public:
    /// \param node Outlives this object, as do the others.
    status_report(const relay_context& node, const slot_desk& local_desk,
                  const job_service& local_jobs);

    /// \param stopping Whether a planned stop is under way.
    /// \returns A JSON document; its fields are on the operators' page.
    std::string json(bool stopping) const;

private:
    const relay_context& context;
    const slot_desk& desk;
    const job_service& jobs;
};

} // namespace parsleytrack::relay
