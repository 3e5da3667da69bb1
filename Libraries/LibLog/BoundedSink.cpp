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
    if (!this->takes_line(message, line.size())) {
        ++this->dropped;
        return;
    }
    this->waiting.append(line.data(), line.size());
    this->tell_of_dropped_lines();
    this->flush_();
}

bool BoundedSink::takes_line(spdlog::details::log_msg const& message, std::size_t size)
{
    // NOTE: The time of day may jump either way; any jump begins a new second.
    auto const since = message.time - this->second_began;
    if (since < std::chrono::seconds(0) || since >= std::chrono::seconds(1)) {
        this->second_began = message.time;
        this->lines_this_second = 0;
    }
    if (this->waiting.size() + size > most_waiting_bytes)
        return false;
    // NOTE: Lines above information level are rare and tell of trouble, so the rate does not bind them.
    if (message.level <= spdlog::level::info && this->lines_this_second >= most_lines_per_second)
        return false;
    ++this->lines_this_second;
    return true;
}

void BoundedSink::tell_of_dropped_lines()
{
    if (this->dropped == this->dropped_told)
        return;
    this->waiting
        += fmt::format("level=warning event=log_lines_dropped count={}\n", this->dropped - this->dropped_told);
    this->dropped_told = this->dropped;
}

void BoundedSink::flush_()
{
    while (!this->waiting.empty()) {
        pollfd ready { this->descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return;
        // NOTE: A pipe that is ready takes this many bytes without blocking.
        auto const size = std::min<std::size_t>(this->waiting.size(), PIPE_BUF);
        auto const written = ::write(this->descriptor, this->waiting.data(), size);
        if (written <= 0)
            return;
        this->waiting.erase(0, static_cast<std::size_t>(written));
    }
}

}
