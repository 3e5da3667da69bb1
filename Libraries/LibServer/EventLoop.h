#pragma once

#include <LibHttp/ConnectionBudget.h>
#include <LibServer/AnswerMemory.h>

#include <LibHttp/Asio.h>
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

namespace Server {

/// The thread on which all connections of a box are read and written, and the memory that they may use.
class EventLoop {
public:
    /// `memory_bytes` is what the process may use in all.
    explicit EventLoop(std::size_t memory_bytes);
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    [[nodiscard]] Http::asio::io_context& io_context() { return this->context; }
    /// Only for the loop's thread once connections are open.
    [[nodiscard]] Http::ConnectionBudget& budget() { return *this->shared_budget; }
    [[nodiscard]] AnswerMemory& answers() { return *this->answer_memory; }
    /// From now on the clients that take their answers most slowly lose their connections, as many at a time as
    /// `needed` returns. It is called on the loop's thread.
    void close_slow_readers(std::function<std::size_t()> needed);

    /// Share of the memory for connections: heads, bodies with what parsing them takes, and answers. The rest is for
    /// the process itself, and for what the kernel holds unread.
    static constexpr double share_for_connections = 0.4;
    /// Divides the memory for connections into the part that only small requests may use.
    static constexpr std::size_t memory_per_reserve = 8;
    /// The head of an ordinary request and a body of some ten thousand tokens, with what parsing it takes.
    static constexpr std::size_t small_request_bytes = 256 * 1024;
    /// Divides the memory into the part for answers that are held for clients.
    static constexpr std::size_t memory_per_held_answers = 8;

private:
    [[nodiscard]] Http::Task<void> watch_slow_readers(std::function<std::size_t()> needed);

    static constexpr Core::Duration check_interval { std::chrono::milliseconds(200) };

    Http::asio::io_context context { 1 };
    Http::asio::executor_work_guard<Http::asio::io_context::executor_type> work;
    std::shared_ptr<AnswerMemory> answer_memory;
    std::shared_ptr<Http::ConnectionBudget> shared_budget;
    std::thread thread;
};

/// Wakes a task of the loop's thread from any thread.
class LoopEvent : public std::enable_shared_from_this<LoopEvent> {
public:
    explicit LoopEvent(Http::asio::io_context& context)
        : context(context)
        , timer(context)
    {
    }

    void notify();
    /// Returns once notify() was called after the last return.
    [[nodiscard]] Http::Task<void> wait();

private:
    Http::asio::io_context& context;
    Http::asio::steady_timer timer;
    bool is_set { false };
};

}
