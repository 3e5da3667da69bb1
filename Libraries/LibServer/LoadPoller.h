#pragma once

#include <LibServer/BoxState.h>

#include <condition_variable>
#include <thread>

namespace Server {

/// Polls the load of all endpoints in turn, using a few threads.
class LoadPoller {
public:
    explicit LoadPoller(BoxState& state);
    ~LoadPoller();
    LoadPoller(LoadPoller const&) = delete;
    LoadPoller& operator=(LoadPoller const&) = delete;

private:
    void run(std::size_t worker);
    [[nodiscard]] bool wait_for(Core::Duration duration);

    static constexpr std::size_t worker_count = 8;

    BoxState& state;
    std::mutex mutex;
    std::condition_variable stopped;
    bool is_stopping { false };
    std::vector<std::thread> workers;
};

}
