#include <LibServer/WorkerThreads.h>

#include <algorithm>
#include <system_error>

namespace Server {

namespace {

/// The threads that the current one belongs to, if any.
thread_local WorkerThreads* current_threads = nullptr;

}

WorkerThreads::WorkerThreads(std::size_t max_running, std::size_t max_waiting)
    : max_running(max_running)
    , max_waiting(max_waiting)
{
}

WorkerThreads::~WorkerThreads()
{
    this->shutdown();
}

void WorkerThreads::enqueue(std::function<void()> work)
{
    std::scoped_lock const lock(this->mutex);
    this->queue.push_back(std::move(work));
    this->start_threads();
    this->work_or_end.notify_one();
}

std::size_t WorkerThreads::queued() const
{
    std::scoped_lock const lock(this->mutex);
    return this->queue.size();
}

std::size_t WorkerThreads::max_threads() const
{
    return this->max_running + std::min(this->waiting, this->max_waiting);
}

void WorkerThreads::start_threads()
{
    if (this->is_stopping)
        return;
    for (auto& thread : this->ended)
        thread.join();
    this->ended.clear();
    auto const needed = this->queue.size() - std::min(this->queue.size(), this->idle);
    for (std::size_t started = 0; started < needed && this->threads.size() < this->max_threads(); ++started) {
        auto const place = this->threads.emplace(this->threads.end());
        try {
            *place = std::thread([this, place] { this->run(place); });
        } catch (std::system_error const&) {
            // NOTE: The system has no more threads. The work stays queued until one of ours is free.
            this->threads.erase(place);
            return;
        }
    }
}

void WorkerThreads::run(Threads::iterator place)
{
    current_threads = this;
    std::unique_lock lock(this->mutex);
    while (auto work = this->next_work(lock)) {
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
    if (!this->is_stopping)
        this->ended.splice(this->ended.end(), this->threads, place);
}

std::function<void()> WorkerThreads::next_work(std::unique_lock<std::mutex>& lock)
{
    auto const is_surplus = [this] { return this->threads.size() > this->max_threads(); };
    ++this->idle;
    this->work_or_end.wait(lock, [&] { return this->is_stopping || is_surplus() || !this->queue.empty(); });
    --this->idle;
    if (!this->is_stopping && is_surplus()) {
        // NOTE: It may have been woken for work, which another idle thread has to take then.
        this->work_or_end.notify_one();
        return {};
    }
    if (this->queue.empty())
        return {};
    auto work = std::move(this->queue.front());
    this->queue.pop_front();
    return work;
}

void WorkerThreads::shutdown()
{
    Threads stopped;
    {
        std::scoped_lock const lock(this->mutex);
        this->is_stopping = true;
        stopped.swap(this->threads);
        stopped.splice(stopped.end(), this->ended);
    }
    this->work_or_end.notify_all();
    for (auto& thread : stopped)
        thread.join();
}

WorkerThreads::Wait::Wait()
    : threads(current_threads)
{
    if (this->threads == nullptr)
        return;
    std::scoped_lock const lock(this->threads->mutex);
    ++this->threads->waiting;
    this->threads->start_threads();
}

WorkerThreads::Wait::~Wait()
{
    if (this->threads == nullptr)
        return;
    std::scoped_lock const lock(this->threads->mutex);
    --this->threads->waiting;
}

}
