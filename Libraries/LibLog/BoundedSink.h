#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace Log {

/// Writes lines to a file descriptor without ever blocking. Lines are buffered, up to a limit, while the reader is
/// slow, and the number of lines per second is limited. Dropped lines are counted and the count is logged.
class BoundedSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit BoundedSink(int descriptor)
        : descriptor(descriptor)
    {
    }

    [[nodiscard]] std::uint64_t dropped_lines() const { return this->dropped; }

    /// Lines per second on one box: six per request, at 100 requests per second (ten times the expected load).
    static constexpr unsigned max_lines_per_second = 600;
    /// About half a second of lines at the maximum rate.
    static constexpr std::size_t max_buffered_bytes = 64 * 1024;

protected:
    void sink_it_(spdlog::details::log_msg const& message) override;
    void flush_() override;

private:
    [[nodiscard]] bool accepts_line(spdlog::details::log_msg const& message, std::size_t size);
    void report_dropped_lines();

    int descriptor;
    std::string buffer;
    std::chrono::system_clock::time_point second_started;
    unsigned lines_this_second { 0 };
    std::uint64_t dropped { 0 };
    std::uint64_t dropped_reported { 0 };
};

}
