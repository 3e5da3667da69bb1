#include <LibLog/BoundedSink.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace Log {

void BoundedSink::sink_it_(spdlog::details::log_msg const& message)
{
    spdlog::memory_buf_t line;
    this->formatter_->format(message, line);
    if (!this->accepts_line(message, line.size())) {
        ++this->dropped;
        return;
    }
    this->buffer.append(line.data(), line.size());
    this->report_dropped_lines();
    this->flush_();
}

bool BoundedSink::accepts_line(spdlog::details::log_msg const& message, std::size_t size)
{
    // NOTE: The wall clock may step forward or back; any step starts a new second.
    auto const since = message.time - this->second_started;
    if (since < std::chrono::seconds(0) || since >= std::chrono::seconds(1)) {
        this->second_started = message.time;
        this->lines_this_second = 0;
    }
    if (this->buffer.size() + size > max_buffered_bytes)
        return false;
    // NOTE: Warnings and errors are rare and report problems, so the rate limit does not apply to them.
    if (message.level <= spdlog::level::info && this->lines_this_second >= max_lines_per_second)
        return false;
    ++this->lines_this_second;
    return true;
}

void BoundedSink::report_dropped_lines()
{
    if (this->dropped == this->dropped_reported)
        return;
    this->buffer
        += fmt::format("level=warning event=log_lines_dropped count={}\n", this->dropped - this->dropped_reported);
    this->dropped_reported = this->dropped;
}

void BoundedSink::flush_()
{
    while (!this->buffer.empty()) {
        pollfd ready { this->descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return;
        // NOTE: Writing up to PIPE_BUF bytes to a writable pipe does not block.
        auto const size = std::min<std::size_t>(this->buffer.size(), PIPE_BUF);
        auto const written = ::write(this->descriptor, this->buffer.data(), size);
        if (written <= 0)
            return;
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
}

}
