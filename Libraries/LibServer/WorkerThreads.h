#pragma once

#include <atomic>
#include <functional>
#include <httplib.h>

namespace Server {

/// Threads for work that blocks, with a queue.
class WorkerThreads {
public:
    explicit WorkerThreads(int threads)
        : pool(static_cast<std::size_t>(threads))
    {
    }

    void enqueue(std::function<void()> work)
    {
        ++this->queued;
        this->pool.enqueue([this, work = std::move(work)] {
            --this->queued;
            work();
        });
    }
    /// Whether work waits for a thread.
    [[nodiscard]] bool is_short() const { return this->queued > 0; }
    /// Finishes all work and ends the threads.
    void shutdown() { this->pool.shutdown(); }

private:
    std::atomic<std::size_t> queued { 0 };
    httplib::ThreadPool pool;
};

}
