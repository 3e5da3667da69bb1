#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

using Clock = std::chrono::steady_clock;

enum class RequestKind {
    /// Runs at most once.
    Once,
    /// May be repeated.
    Repeatable,
    Stream,
};

/// What a client sent and what it was told.
struct Exchange {
    std::string attempt;
    RequestKind kind { RequestKind::Once };
    std::string key;
    Clock::time_point sent_at;
    /// 0 where no whole answer came.
    int status { 0 };
    std::string body;
};

/// Clients that send requests over kept connections, each to all boxes in turn, until they are stopped.
class Clients {
public:
    /// `ports` are those of the boxes and stay the same; `seed` decides on what is sent.
    Clients(std::vector<int> ports, std::uint64_t seed);
    ~Clients();
    Clients(Clients const&) = delete;
    Clients& operator=(Clients const&) = delete;

    /// Ends the sending and gives all that was sent.
    [[nodiscard]] std::vector<Exchange> finish();

    /// The events of each stream.
    static constexpr int stream_events = 20;

private:
    void send_until_stopped(std::uint64_t seed, int client);
    void stop();

    static constexpr int count = 16;

    std::vector<int> ports;
    std::atomic<bool> is_stopped { false };
    std::mutex lock;
    std::vector<Exchange> exchanges;
    std::vector<std::thread> threads;
};

}
