#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <unordered_map>

namespace Harness {

/// The loopback connections to a port that are open at construction, and the processes that hold them.
///
/// Asks the kernel for these connections only. Its table of all connections lists some 25,000 closed ones beside the
/// other tests: reading it took 44 ms, and a proxy that read it for each new connection added over a second to answers.
/// The table is read only where the kernel doesn't answer such questions.
class OpenConnections {
public:
    /// All connections to the port.
    explicit OpenConnections(std::uint16_t remote_port);
    /// Only the connection from `local_port`, which takes the kernel microseconds.
    OpenConnections(std::uint16_t remote_port, std::uint16_t local_port);

    /// Whether the process holds the socket of the connection from `local_port`.
    [[nodiscard]] bool is_held_by(pid_t process, std::uint16_t local_port) const;

private:
    struct Question;

    /// False if the kernel doesn't answer.
    [[nodiscard]] bool ask_kernel(Question const& question);
    void read_table(std::uint16_t remote_port);

    std::unordered_map<std::uint16_t, std::string> inodes;
};

}
