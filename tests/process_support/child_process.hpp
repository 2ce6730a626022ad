#pragma once

#include "units/time.hpp"

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace parsleytrack::process_support
{

/// A process that this one has started. Destroying it kills it.
class child_process
{
public:
    /// \param arguments The program's path and its arguments.
    /// \param log_path Where its output goes; appended to.
    child_process(const std::vector<std::string>& arguments,
                  std::string log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// \returns The process id, also after the process has ended.
    pid_t id() const { return this->pid; }

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// \returns Whether it has a handler for a signal or defers it; not so
    /// before its program's first lines have run.
    bool handles(int number) const;

    /// Kills it and waits for its end.
    void kill();

    /// \returns Whether it has ended. Does not wait.
    bool has_ended();

    /// \returns The exit code, or minus the signal that ended it; only once
    /// it has ended.
    int exit_code() const { return this->code; }

    /// \returns Processor time that it has used, as the system counts it; zero
    /// once it has ended.
    duration processor_time() const;

    /// \returns The most memory that it has used, in bytes; zero once it has
    /// ended.
    std::size_t peak_memory_bytes() const;

    /// \returns Number of descriptors that it has open; zero once it has ended.
    std::size_t open_descriptors() const;

    /// \returns All that it has written so far.
    std::string output() const;

private:
    void keep_status(int status);
    /// \returns What the system says of it under a name, or nothing once it
    /// has ended.
    std::string status_field(const std::string& name) const;

    pid_t pid = -1;
    bool ended = false;
    int code = 0;
    std::string log_path;
};

} // namespace parsleytrack::process_support
