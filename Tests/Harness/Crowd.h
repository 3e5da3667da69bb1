#pragma once

#include <LibGateway/Asio.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Harness {

/// What each member of a crowd does on its connection.
struct CrowdPlan {
    /// Sent as fast as the peer takes it.
    std::string bytes;
    /// Sent one byte at a time behind `bytes`, for as long as the connection is open; empty for none.
    std::string drip {};
    std::chrono::milliseconds drip_interval { 200 };
    /// How often a member connects in all. It connects again as soon as its connection is closed or answered.
    int connections { 1 };
    /// Whether members read what the peer sends.
    bool reads { true };
    /// How long a member waits before it reads each further piece.
    std::chrono::milliseconds read_interval { 0 };
};

/// Clients that send what their plan says, all at once, and keep their connections open until the crowd is destroyed or
/// the peer closes them. They run on a thread of their own.
class Crowd {
public:
    Crowd(int port, int size, CrowdPlan plan);
    ~Crowd();
    Crowd(Crowd const&) = delete;
    Crowd& operator=(Crowd const&) = delete;

    /// Waits until no member connects, sends or receives any more. Members that drip don't count as long as they do.
    void wait_until_settled() const;
    /// Number of answers with this status so far.
    [[nodiscard]] int answers(int status) const;
    /// Number of members whose connection is open.
    [[nodiscard]] int open() const { return this->open_connections; }

private:
    Gateway::Task<void> run_member();
    Gateway::Task<void> run_connection();
    void limit_receive_buffer(Gateway::tcp::socket& socket) const;
    Gateway::Task<void> send(std::shared_ptr<Gateway::tcp::socket> socket);
    /// Reads until the peer closes the connection or has answered.
    Gateway::Task<void> receive(std::shared_ptr<Gateway::tcp::socket> socket);
    void count_answer(std::string const& head);

    static constexpr int max_status = 600;

    int port;
    CrowdPlan plan;
    Gateway::asio::io_context context { 1 };
    std::atomic<std::uint64_t> steps { 0 };
    std::atomic<int> open_connections { 0 };
    std::array<std::atomic<int>, max_status> answers_by_status {};
    std::thread thread;
};

}
