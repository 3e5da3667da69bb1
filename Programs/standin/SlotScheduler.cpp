#include "SlotScheduler.h"

#include <chrono>

bool SlotScheduler::acquire(int priority, std::function<bool()> const& is_gone)
{
    constexpr auto look_interval = std::chrono::milliseconds(20);
    std::unique_lock lock(this->mutex);
    auto const own = this->waiting.emplace(priority, this->next_number++).first;
    auto const is_next = [&] { return this->running_now < this->slots && this->waiting.begin() == own; };
    while (!this->changed.wait_for(lock, look_interval, is_next)) {
        lock.unlock();
        auto const gone = is_gone();
        lock.lock();
        if (!gone)
            continue;
        this->waiting.erase(own);
        this->changed.notify_all();
        return false;
    }
    this->waiting.erase(own);
    ++this->running_now;
    this->changed.notify_all();
    return true;
}

void SlotScheduler::release()
{
    std::scoped_lock const lock(this->mutex);
    --this->running_now;
    this->changed.notify_all();
}

int SlotScheduler::running()
{
    std::scoped_lock const lock(this->mutex);
    return this->running_now;
}

int SlotScheduler::queued()
{
    std::scoped_lock const lock(this->mutex);
    return static_cast<int>(this->waiting.size());
}
