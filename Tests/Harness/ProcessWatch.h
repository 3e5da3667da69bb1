#pragma once

#include <atomic>
#include <map>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Harness {

/// Follows the memory and the descriptors of a process until it is destroyed: what is resident together with the bytes
/// that the kernel holds unread for its listening ports.
class ProcessWatch {
public:
    explicit ProcessWatch(pid_t process);
    ~ProcessWatch();
    ProcessWatch(ProcessWatch const&) = delete;
    ProcessWatch& operator=(ProcessWatch const&) = delete;

    /// The highest value so far, in bytes.
    [[nodiscard]] std::size_t peak_memory_bytes() const { return this->peak_memory; }
    /// The bound for a process that may use `limit` bytes. A sanitized one takes hundreds of MB for itself, so what it
    /// had at the beginning comes on top.
    [[nodiscard]] std::size_t max_memory_bytes(std::size_t limit) const;
    /// The highest number so far.
    [[nodiscard]] std::size_t peak_descriptors() const { return this->most_descriptors; }

private:
    void sample();

    pid_t process;
    std::vector<int> ports;
    std::size_t first_memory { 0 };
    std::atomic<std::size_t> peak_memory { 0 };
    std::atomic<std::size_t> most_descriptors { 0 };
    std::atomic<bool> is_stopped { false };
    std::thread thread;
};

/// The ports on which a process listens, in rising order.
[[nodiscard]] std::vector<int> listening_ports(pid_t process);

/// Has sanitized processes that the test starts from now on give freed memory back, so that their memory can be
/// bounded.
void limit_sanitizer_memory();

}
