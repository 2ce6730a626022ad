#pragma once

#include "settings/node_settings.hpp"
#include "units/result.hpp"

#include <functional>
#include <memory>

namespace parsleytrack
{

/// One daemon: its sockets, what its modules share, and the modules.
class node
{
public:
    explicit node(settings::node_settings node_settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Opens the sockets.
    ///
    /// \returns Nothing, or error_code::bad_settings when an address or the
    /// data folder cannot be used.
    result<bool> start();

    /// Serves until a planned stop has come to its end.
    void run();

private:
    struct state;

    void plan_drain();
    void await_open_requests(std::function<void()> done);

    std::unique_ptr<state> contents;
};

} // namespace parsleytrack
