#include "process_support/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

extern char** environ;

namespace parsleytrack::process_support
{

namespace
{

constexpr int log_mode = 0644;

/// What a new process does with its descriptors.
class spawn_actions
{
public:
    spawn_actions() { ::posix_spawn_file_actions_init(&this->actions); }
    ~spawn_actions() { ::posix_spawn_file_actions_destroy(&this->actions); }
    spawn_actions(const spawn_actions&) = delete;
    spawn_actions& operator=(const spawn_actions&) = delete;

    posix_spawn_file_actions_t* get() { return &this->actions; }

private:
    posix_spawn_file_actions_t actions{};
};

} // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             std::string log)
    : log_path(std::move(log))
{
    spawn_actions actions;
    ::posix_spawn_file_actions_addopen(actions.get(), STDOUT_FILENO,
                                       this->log_path.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, log_mode);
    ::posix_spawn_file_actions_adddup2(actions.get(), STDOUT_FILENO,
                                       STDERR_FILENO);
    std::vector<char*> pointers;
    for (const std::string& argument : arguments)
    {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    const int outcome =
        ::posix_spawn(&this->pid, pointers.front(), actions.get(), nullptr,
                      pointers.data(), environ);
    if (outcome != 0)
    {
        throw std::runtime_error("cannot start " + arguments.front());
    }
}

child_process::~child_process()
{
    this->kill();
}

void child_process::signal(int number)
{
    if (!this->has_ended())
    {
        ::kill(this->pid, number);
    }
}

void child_process::kill()
{
    if (this->has_ended())
    {
        return;
    }
    ::kill(this->pid, SIGKILL);
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->keep_status(status);
}

bool child_process::has_ended()
{
    int status = 0;
    if (!this->ended && ::waitpid(this->pid, &status, WNOHANG) == this->pid)
    {
        this->keep_status(status);
    }
    return this->ended;
}

void child_process::keep_status(int status)
{
    this->ended = true;
    this->code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

duration child_process::processor_time() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/stat");
    std::string text;
    std::getline(file, text);
    // The name in parentheses may hold spaces; user and system time are the
    // 12th and 13th field after it.
    std::istringstream fields(
        text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 0; field < 11; ++field)
    {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::microseconds((user + system) * 1'000'000 /
                                     ::sysconf(_SC_CLK_TCK));
}

std::size_t child_process::peak_memory_bytes() const
{
    constexpr std::size_t bytes_per_kilobyte = 1024;
    const std::string kilobytes = this->status_field("VmHWM:");
    return kilobytes.empty() ? 0 : std::stoul(kilobytes) * bytes_per_kilobyte;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code failure;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(this->pid) + "/fd", failure);
    return failure ? 0
                   : static_cast<std::size_t>(
                         std::distance(begin(entries), end(entries)));
}

bool child_process::handles(int number) const
{
    const auto read_mask = [this](const char* field)
    {
        constexpr int hexadecimal = 16;
        const std::string mask = this->status_field(field);
        return mask.empty() ? 0 : std::stoull(mask, nullptr, hexadecimal);
    };
    const auto bit_of = [](int signal_number)
    {
        return 1ULL << (signal_number - 1);
    };
    // While the process is started, all signals are blocked for a moment. That
    // is told apart by a second signal, read at the same time.
    const std::uint64_t blocked = read_mask("SigBlk:");
    const bool defers =
        (blocked & (bit_of(number) | bit_of(SIGUSR2))) == bit_of(number);
    return defers || (read_mask("SigCgt:") & bit_of(number)) != 0;
}

std::string child_process::status_field(const std::string& name) const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(name))
        {
            return line.substr(name.size());
        }
    }
    return "";
}

std::string child_process::output() const
{
    std::ostringstream text;
    text << std::ifstream(this->log_path).rdbuf();
    return text.str();
}

} // namespace parsleytrack::process_support
