#include <TestMain.h>

#include <LibLog/BoundedSink.h>
#include <array>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace {

/// A logger that writes to a pipe that is read only on request.
struct PipedLogger {
    PipedLogger()
    {
        REQUIRE(pipe(this->ends.data()) == 0);
        this->sink = std::make_shared<Log::BoundedSink>(this->ends[1]);
        this->logger = std::make_unique<spdlog::logger>("test", this->sink);
        this->logger->set_pattern("%l %v");
    }
    ~PipedLogger()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    PipedLogger(PipedLogger const&) = delete;
    PipedLogger& operator=(PipedLogger const&) = delete;

    [[nodiscard]] std::string read_all() const
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> piece {};
        for (;;) {
            auto const size = read(this->ends[0], piece.data(), piece.size());
            if (size <= 0)
                return text;
            text.append(piece.data(), static_cast<std::size_t>(size));
        }
    }

    std::array<int, 2> ends {};
    std::shared_ptr<Log::BoundedSink> sink;
    std::unique_ptr<spdlog::logger> logger;
};

}

TEST_CASE("lines are written whole and in order")
{
    PipedLogger const piped;
    piped.logger->info("event=a n=1");
    piped.logger->warn("event=b n=2");
    piped.logger->flush();
    CHECK(piped.read_all() == "info event=a n=1\nwarning event=b n=2\n");
}

TEST_CASE("a stalled reader never blocks the writer, and dropped lines are reported")
{
    PipedLogger const piped;
    std::string const line(1000, 'x');
    // Exceeds the capacity of the pipe and the buffer; the rate limit does not apply to warnings.
    for (int index = 0; index < 2000; ++index)
        piped.logger->warn(line);
    CHECK(piped.sink->dropped_lines() > 0);
    static_cast<void>(piped.read_all());
    piped.logger->flush();
    static_cast<void>(piped.read_all());
    piped.logger->warn("event=again");
    piped.logger->flush();
    auto const text = piped.read_all();
    CHECK(text.find("event=again") != std::string::npos);
    CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
}

TEST_CASE("the rate limit applies to info lines, not to warnings")
{
    PipedLogger const piped;
    // The limit is per second, and the loop may span more than one second.
    for (unsigned index = 0; index < 4 * Log::BoundedSink::max_lines_per_second; ++index)
        piped.logger->info("i");
    CHECK(piped.sink->dropped_lines() >= Log::BoundedSink::max_lines_per_second);
    auto const before = piped.sink->dropped_lines();
    piped.logger->warn("w");
    CHECK(piped.sink->dropped_lines() == before);
}
