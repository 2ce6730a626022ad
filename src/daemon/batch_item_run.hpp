#pragma once

#include "backends/completion_assembler.hpp"
#include "daemon/replica_job.hpp"
#include "net/http_call.hpp"
#include "settings/service_settings.hpp"
#include "units/ids.hpp"
#include "wire/generated/batch_types.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleytrack
{

/// One batch item at a gate, from its arrival to the report on it.
class batch_item_run : public std::enable_shared_from_this<batch_item_run>
{
public:
    using report_callback = std::function<void(wire::item_report)>;

    /// \param pulled The item.
    /// \param replica The replica that is to run it.
    /// \param service The replica's service.
    /// \param now When the item arrived.
    /// \param callback Called once with the report.
    batch_item_run(wire::batch_item pulled, replica_id replica,
                   const settings::service_settings& service, time_point now,
                   report_callback callback);

    /// \returns The job for the replica's gate.
    replica_job make_job();

    /// Keeps the job's handle; see replica_runner::submit().
    void keep(std::unique_ptr<net::http_call> handle);

    /// Takes the item back from the gate; no report follows.
    void cancel();

    /// \returns The report for an item that was not sent.
    wire::item_report not_run(const std::string& why) const;

    const wire::batch_item& item() const { return this->work; }

private:
    backends::backend_request make_request();
    bool is_engine() const;
    void handle_piece(std::string_view piece);
    void handle_end(const result<bool>& outcome);
    void handle_return(bool preempted);
    wire::item_report make_report(wire::item_end::type how) const;
    wire::item_report report_answer() const;
    wire::item_report report_error(const error& reason) const;
    void finish(wire::item_report report);

    wire::batch_item work;
    replica_id where;
    const settings::service_settings& settings;
    time_point deadline;
    report_callback on_report;
    std::string model;
    backends::completion_assembler assembler;
    int status = 0;
    int starts = 0;
    std::string body;
    bool unreadable = false;
    std::unique_ptr<net::http_call> job_handle;
};

} // namespace parsleytrack
