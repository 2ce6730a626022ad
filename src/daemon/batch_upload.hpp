#pragma once

#include "daemon/batch_submission.hpp"
#include "daemon/job_creation.hpp"
#include "daemon/line_findings.hpp"
#include "daemon/line_splitter.hpp"
#include "wire/generated/job_types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace parsleytrack
{

/// One submission of a batch job, from its first byte to the answer. Holds at
/// most the items of one lot and the segments that are being written.
class batch_upload : public std::enable_shared_from_this<batch_upload>
{
public:
    /// Told of a job that was accepted just now.
    using accepted_callback =
        std::function<void(const job_id&, const job_record&)>;

    /// \param node What the modules share.
    /// \param segments Keeps the items.
    /// \param jobs Keeps the job's record.
    /// \param exchange The request; its body has not been asked for yet.
    /// \param submission What its head says.
    /// \param on_accepted Told of a job that is new.
    /// \param on_end Called once when the request was answered or the caller
    /// has gone away.
    batch_upload(node_context& node, storage_module& segments, job_store& jobs,
                 std::shared_ptr<net::http_exchange> exchange,
                 batch_submission submission, accepted_callback on_accepted,
                 std::function<void()> on_end);

    /// Begins to read the body.
    void start();

private:
    void look_for_job();
    void handle_piece(std::string_view piece);
    void handle_line(int number, std::string_view line);
    void handle_item(int number, wire::stored_item item);
    void write_lot();
    void handle_placement(std::size_t lot, const result<placement>& where);
    void finish_if_settled();
    void create_job();
    void handle_creation(const result<job_record>& outcome);
    void respond_job(const job_record& known);
    void fail(const error& reason);
    void end();
    void restart_idle_timer();

    node_context& context;
    storage_module& storage;
    job_store& records;
    std::shared_ptr<net::http_exchange> request;
    batch_submission head;
    accepted_callback accepted;
    std::function<void()> ended_callback;
    line_splitter lines;
    wire::stored_item_list lot;
    std::size_t lot_bytes = 0;
    std::size_t puts_in_flight = 0;
    std::unordered_set<std::size_t> custom_id_hashes;
    line_findings problems;
    std::optional<error> put_error;
    std::optional<job_record> existing;
    job_record record;
    std::weak_ptr<job_creation> creation;
    net::timer idle_timer;
    bool body_complete = false;
    bool paused = false;
    bool ended = false;
};

} // namespace parsleytrack
