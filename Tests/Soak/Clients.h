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
    /// A stream that the client takes up at another box when it breaks off.
    ResumableStream,
    /// A stream that the box itself continues at another endpoint, up to twice.
    ContinuedStream,
};

/// A request of a client and its answer.
struct Exchange {
    std::string attempt;
    RequestKind kind { RequestKind::Once };
    std::string key;
    Clock::time_point sent_at;
    /// 0 if no complete answer arrived.
    int status { 0 };
    /// Of an answer that broke off, what arrived of it.
    std::string body;
    /// The attempt whose stream this one takes up, and the last event that the client had; empty for a new one.
    std::string taken_up;
    int last_event { 0 };
};

/// The last whole event that the client has behind this attempt; 0 for none.
[[nodiscard]] int last_event_of(Exchange const& exchange);

/// Clients that send requests over persistent connections, each to all boxes in turn, until they are stopped.
class Clients {
public:
    /// `ports` are the client ports of the boxes; `seed` determines the requests.
    Clients(std::vector<int> ports, std::uint64_t seed);
    ~Clients();
    Clients(Clients const&) = delete;
    Clients& operator=(Clients const&) = delete;

    /// Stops sending and returns all requests.
    [[nodiscard]] std::vector<Exchange> finish();

    /// Number of events in each stream.
    static constexpr int stream_events = 20;

private:
    void send_until_stopped(std::uint64_t seed, int client);
    void record(Exchange exchange);
    void stop();

    static constexpr int count = 16;

    std::vector<int> ports;
    std::atomic<bool> is_stopped { false };
    std::mutex lock;
    std::vector<Exchange> exchanges;
    std::vector<std::thread> threads;
};

}
