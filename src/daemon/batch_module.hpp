#pragma once

#include "daemon/node_context.hpp"
#include "daemon/storage_module.hpp"

#include <functional>
#include <memory>

namespace parsleytrack
{

/// Accepts batch jobs, answers for their state and results, and owns lots of
/// them.
class batch_module
{
public:
    /// \param node What the modules share.
    /// \param segments Keeps items and results.
    batch_module(node_context& node, storage_module& segments);
    ~batch_module();
    batch_module(const batch_module&) = delete;
    batch_module& operator=(const batch_module&) = delete;

    /// Begins a planned stop: hands all lots over.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    struct state;
    std::unique_ptr<state> contents;
};

} // namespace parsleytrack
