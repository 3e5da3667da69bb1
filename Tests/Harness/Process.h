#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness {

/// A child process of the test. The destructor kills it.
class Process {
public:
    Process(std::string const& program, std::vector<std::string> const& arguments, std::string const& log_file);
    ~Process();
    Process(Process const&) = delete;
    Process& operator=(Process const&) = delete;

    /// Sends SIGKILL and waits for the process.
    void kill();
    /// Sends SIGTERM, waits, and returns the exit code.
    int terminate();
    /// Whether the process has ended by itself.
    [[nodiscard]] bool has_ended() const;
    [[nodiscard]] pid_t process_id() const { return this->id; }
    void freeze() const;
    void thaw() const;

private:
    pid_t id { -1 };
};

}
