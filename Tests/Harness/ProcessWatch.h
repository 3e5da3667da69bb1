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
    /// The highest number so far.
    [[nodiscard]] std::size_t peak_descriptors() const { return this->most_descriptors; }

private:
    void sample();

    pid_t process;
    std::vector<int> ports;
    std::atomic<std::size_t> peak_memory { 0 };
    std::atomic<std::size_t> most_descriptors { 0 };
    std::atomic<bool> is_stopped { false };
    std::thread thread;
};

/// The ports on which a process listens, in rising order.
[[nodiscard]] std::vector<int> listening_ports(pid_t process);

/// What sanitizers need beside the memory of a process: shadow memory, and blocks that were freed but not yet reused.
/// Checks of memory add it to their bounds.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t sanitizer_memory_bytes = 224U * 1000 * 1000;
#else
constexpr std::size_t sanitizer_memory_bytes = 0;
#endif

/// Has sanitized processes that the test starts from now on give freed memory back, so that their memory can be
/// bounded.
void limit_sanitizer_memory();

}
