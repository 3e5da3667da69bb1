#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>

/// The slots of an engine. The most urgent waiting request gets the next free one, equal ones in order of arrival.
class SlotScheduler {
public:
    explicit SlotScheduler(int slots)
        : slots(slots)
    {
    }

    /// Blocks until a slot is free. False if the client left meanwhile, according to `is_gone`.
    [[nodiscard]] bool acquire(int priority, std::function<bool()> const& is_gone);
    void release();
    [[nodiscard]] int running();
    [[nodiscard]] int queued();

private:
    int const slots;
    std::mutex mutex;
    std::condition_variable changed;
    std::set<std::pair<int, std::uint64_t>> waiting;
    std::uint64_t next_number { 0 };
    int running_now { 0 };
};
