#pragma once

#include <LibGateway/Asio.h>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace Harness {

/// Requests that a load sends, whatever becomes of the ones before.
struct LoadPlan {
    /// Ports of the boxes, each of which gets the same share.
    std::vector<int> ports;
    double per_second { 0 };
    std::string path;
    /// Header fields of each request; each ends with a line end.
    std::string fields {};
    /// A client that has no answer after this time leaves.
    std::chrono::milliseconds patience { 5000 };
    std::uint64_t seed { 1 };

    bool operator==(LoadPlan const&) const = default;
};

/// What became of the requests of a load.
struct LoadResult {
    int sent { 0 };
    /// Answered with 200.
    int served { 0 };
    /// Answered with 429 or 503.
    int refused { 0 };
    /// No box listened at the port.
    int unreached { 0 };
    /// Answered with another status, broken off, or left by the client.
    int failed { 0 };

    bool operator==(LoadResult const&) const = default;
};

/// Clients that send requests at random moments over kept connections, from a thread of their own.
class RequestLoad {
public:
    explicit RequestLoad(LoadPlan plan);
    ~RequestLoad();
    RequestLoad(RequestLoad const&) = delete;
    RequestLoad& operator=(RequestLoad const&) = delete;

    /// Requests per second from now on.
    void set_rate(double per_second) { this->per_second = per_second; }
    /// Sends nothing more, waits for the answers to what was sent, and returns the result.
    [[nodiscard]] LoadResult finish();

private:
    using Stream = boost::beast::tcp_stream;

    [[nodiscard]] Gateway::Task<void> send_all();
    [[nodiscard]] Gateway::Task<void> send_one(int port, int number);
    /// The status of the answer; nothing if no box listens, and 0 if there is no answer.
    [[nodiscard]] Gateway::Task<std::optional<unsigned>> exchange(int port, int number);

    LoadPlan plan;
    std::atomic<double> per_second;
    std::atomic<bool> is_stopped { false };
    Gateway::asio::io_context context { 1 };
    /// Open connections without a request, by port.
    std::map<int, std::vector<std::unique_ptr<Stream>>> idle;
    LoadResult result;
    std::jthread thread;
};

}
