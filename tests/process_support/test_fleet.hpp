#pragma once

#include "process_support/fleet_options.hpp"
#include "process_support/temporary_folder.hpp"
#include "process_support/test_client.hpp"
#include "process_support/test_process.hpp"

#include <string>
#include <vector>

namespace parsleytrack::process_support
{

/// A whole deployment as processes on an address of the loopback network that
/// is this test process's own: the store, model engines ("rota-llm"), plain
/// services ("rota-web") and daemons, all of them keepers in three availability
/// zones. Everything is killed at the end.
class test_fleet
{
public:
    explicit test_fleet(const fleet_options& fleet = {});

    /// Starts everything and waits until the nodes know each other and the
    /// model "carnet-7b" is in force and loaded everywhere. Fails the test
    /// otherwise.
    void start();

    /// Starts a process again that has ended.
    void start_again(test_process& process);

    /// Applies a release note through a node and fails the test when it is
    /// refused.
    void apply_note(const std::string& note);

    /// Sets the switches of a stand-in.
    void set_switch(const test_process& stand_in, const std::string& switches);

    /// \returns How often a call has run at all plain services together.
    int executions(const std::string& key);

    /// Fails the test, with the ends of all logs, unless a condition comes to
    /// hold.
    void wait(const char* what, const std::function<bool()>& condition,
              duration limit);

    /// Fails the test with a message and the ends of all logs.
    void fail(const std::string& message);

    test_client client;
    test_process store;
    std::vector<test_process> engines;
    std::vector<test_process> services;
    std::vector<test_process> nodes;

private:
    std::string settings_text(int index) const;
    void add_stand_ins();
    void add_node(int index);
    void list_instance(const std::string& service, const test_process& process,
                       int index);
    test_process make(const std::string& name, const std::string& program,
                      const std::vector<std::string>& flags);
    void launch(test_process& process);
    /// Waits until all nodes know each other, or shows whom each one knows.
    void wait_until_joined();
    bool knows_all(const test_process& node);
    bool has_model(const test_process& engine);

    fleet_options options;
    temporary_folder folder;
    std::string host;
    std::uint16_t next_port;
};

} // namespace parsleytrack::process_support
