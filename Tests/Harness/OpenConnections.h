#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <unordered_map>

namespace Harness {

/// The loopback connections to a port that are open at construction, and the processes that hold them. The kernel takes
/// milliseconds to list all connections of some hundred processes, so one list serves for many questions.
class OpenConnections {
public:
    explicit OpenConnections(std::uint16_t remote_port);

    /// Whether the process holds the socket of the connection from `local_port`.
    [[nodiscard]] bool is_held_by(pid_t process, std::uint16_t local_port) const;

private:
    std::unordered_map<std::uint16_t, std::string> inodes;
};

}
