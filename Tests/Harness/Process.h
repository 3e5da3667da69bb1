#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness {

/// A process that this test started. Ended, by its id, when this goes.
class Process {
public:
    Process(std::string const& program, std::vector<std::string> const& arguments, std::string const& log_file);
    ~Process();
    Process(Process const&) = delete;
    Process& operator=(Process const&) = delete;

    /// SIGKILL, and waits until it is gone.
    void kill();
    /// SIGTERM, and waits; the exit code.
    int terminate();
    void freeze() const;
    void thaw() const;

private:
    pid_t id { -1 };
};

}
