#pragma once

#include "daemon/node_context.hpp"
#include "daemon/once_grant.hpp"
#include "daemon/storage_module.hpp"

#include <functional>
#include <memory>
#include <string>

namespace parsleytrack
{

/// Lets a call that must not run twice run at most once in the whole fleet.
class once_module
{
public:
    /// \param node What the modules share.
    /// \param segments Keeps answers that are too large for the store; without
    /// it they are not kept.
    explicit once_module(node_context& node,
                         storage_module* segments = nullptr);
    ~once_module();
    once_module(const once_module&) = delete;
    once_module& operator=(const once_module&) = delete;

    /// Asks for the right to send a call.
    ///
    /// \param workspace The caller's workspace; keys of different workspaces
    /// are different.
    /// \param key The caller's idempotency key.
    /// \param fingerprint Stands for method, path and body; another one under
    /// the same key is answered with error_code::conflict.
    /// \param callback Gets the grant, the recorded answer, or why neither can
    /// be had: error_code::may_have_run with ran_state::unknown when a run was
    /// begun and its answer is not known, and any error with ran_state::no when
    /// this call was not begun.
    void acquire(const workspace_name& workspace, const idempotency_key& key,
                 const std::string& fingerprint,
                 std::function<void(result<once_grant>)> callback);

    /// Keeps the answer of a call that was granted.
    ///
    /// \param callback Gets true once the answer is committed.
    void record(const workspace_name& workspace, const idempotency_key& key,
                const once_answer& answer,
                std::function<void(result<bool>)> callback);

    /// Hands a grant back. Only where provably no byte was sent.
    void release_unsent(const workspace_name& workspace,
                        const idempotency_key& key);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    struct state;
    std::shared_ptr<state> contents;
};

} // namespace parsleytrack
