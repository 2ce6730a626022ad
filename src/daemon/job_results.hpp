#pragma once

#include "daemon/node_context.hpp"
#include "daemon/storage_module.hpp"
#include "decisions/job_progress.hpp"
#include "wire/generated/job_types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleytrack
{

/// Streams the results of one job to a caller, one line an item, in the order
/// of the items. Holds the results of one lot at a time.
class job_results : public std::enable_shared_from_this<job_results>
{
public:
    /// \param node What the modules share.
    /// \param segments Keeps the results.
    /// \param exchange The request to answer.
    /// \param job The job and its lots.
    job_results(node_context& node, storage_module& segments,
                std::shared_ptr<net::http_exchange> exchange, job_progress job);

    /// Begins; keeps itself alive until the caller has the last line.
    void start();

private:
    void next_lot();
    void next_segment();
    void handle_segment(const result<std::string>& bytes);
    void write_lines();
    void break_off(const error& reason);

    node_context& context;
    storage_module& storage;
    std::shared_ptr<net::http_exchange> request;
    job_progress progress;
    std::map<int, lot_record>::const_iterator lot;
    std::size_t segment = 0;
    std::map<int, std::string> lines;
    bool streaming = false;
    net::timer timer;
};

} // namespace parsleytrack
