#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace Server {

/// Threads for work that blocks, with a queue. Work that waits for a slow client leaves its place to other work, so
/// that such clients don't keep others waiting; only the number of threads in all is limited.
class WorkerThreads {
public:
    /// Runs up to `max_running` pieces of work at a time, beside up to `max_waiting` that wait.
    explicit WorkerThreads(std::size_t max_running, std::size_t max_waiting = 0);
    ~WorkerThreads();
    WorkerThreads(WorkerThreads const&) = delete;
    WorkerThreads& operator=(WorkerThreads const&) = delete;

    void enqueue(std::function<void()> work);
    /// Number of pieces of work that wait for a thread.
    [[nodiscard]] std::size_t queued() const;
    /// Finishes all work and ends the threads.
    void shutdown();

    /// The time in which the work of the current thread waits for a client. Has no effect on other threads.
    class Wait {
    public:
        Wait();
        ~Wait();
        Wait(Wait const&) = delete;
        Wait& operator=(Wait const&) = delete;

    private:
        WorkerThreads* threads;
    };

private:
    using Threads = std::list<std::thread>;

    void run(Threads::iterator place);
    /// Takes the next work; returns nothing if the thread must end. Unlocks while there is none.
    [[nodiscard]] std::function<void()> next_work(std::unique_lock<std::mutex>& lock);
    /// Starts the threads that the queue needs. The mutex must be locked.
    void start_threads();
    /// Number of threads there may be, as many of them wait. The mutex must be locked.
    [[nodiscard]] std::size_t max_threads() const;

    std::size_t max_running;
    std::size_t max_waiting;
    mutable std::mutex mutex;
    std::condition_variable work_or_end;
    std::deque<std::function<void()>> queue;
    Threads threads;
    /// Threads that have ended, and have yet to be joined.
    Threads ended;
    std::size_t idle { 0 };
    std::size_t waiting { 0 };
    bool is_stopping { false };
};

}
