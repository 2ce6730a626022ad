#pragma once

#include "backends/engine_link.hpp"
#include "backends/service_link.hpp"
#include "daemon/node_context.hpp"
#include "daemon/replica_job.hpp"
#include "decisions/gate.hpp"
#include "decisions/replica_summary.hpp"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace parsleytrack
{

/// Carries out what the gate of one replica decides.
class replica_runner
{
public:
    /// What the runner asks of its owner.
    struct owner_hooks
    {
        /// The gate wants batch items; pull_done() is to follow.
        std::function<void(int count)> pull;
        /// The gate's state may have changed.
        std::function<void()> changed;
        /// The replica has said that it is leaving.
        std::function<void()> leaving;
    };

    replica_runner(node_context& node, const replica_info& replica,
                   const settings::service_settings& service,
                   owner_hooks hooks);
    ~replica_runner();
    replica_runner(const replica_runner&) = delete;
    replica_runner& operator=(const replica_runner&) = delete;

    /// Gives a request or batch item to the gate. No callback of the job is
    /// called before submit() has returned.
    ///
    /// \returns The job; destroying it cancels it without a callback.
    [[nodiscard]] std::unique_ptr<net::http_call> submit(replica_job job);

    /// See gate.
    void pull_done(int received, duration retry_after);
    void offer_batch(bool available);
    void close(bool stop_batch);

    bool idle() const { return this->decisions.idle() && this->jobs.empty(); }
    const replica_info& replica() const { return this->info; }
    const settings::service_settings& service() const { return this->settings; }
    replica_summary summary() const;
    gate_status status() const;

private:
    struct entry
    {
        replica_job job;
        request_id sent_as;
        std::unique_ptr<net::http_call> call;
        std::unique_ptr<net::http_call> stop_call;
        /// Which start of the job the call belongs to.
        int starts = 0;
        bool wanted = true;
        bool stopping = false;
        bool has_output = false;
        time_point submitted;
        time_point last_output;
    };

    void run_commands();
    void carry_out(const start_work& command);
    void carry_out(const stop_work& command);
    void carry_out(const refuse_work& command);
    void carry_out(const return_work& command);
    void carry_out(const pull_work& command);
    backends::backend_hooks make_hooks(work_id id, int start);
    entry* find(work_id id, int start);
    void handle_piece(work_id id, entry& job, std::string_view piece);
    void handle_end(work_id id, result<bool> outcome);
    void handle_stopped(work_id id);
    void cancel(work_id id);
    void poll_load();
    void set_timer();

    node_context& context;
    replica_info info;
    const settings::service_settings& settings;
    owner_hooks hooks;
    std::variant<backends::engine_link, backends::service_link> link;
    gate decisions;
    std::map<work_id, entry> jobs;
    work_id next_id{1};
    net::timer wakeup;
    net::timer load_timer;
    std::unique_ptr<net::http_call> load_call;
    time_point created;
    bool running_commands = false;
    // Tells handles and posted calls whether the runner still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack
