#include <TestMain.h>

#include <LibServer/WorkerThreads.h>

#include <latch>

using Server::WorkerThreads;

namespace {

/// Work that waits until it is released, and tells when it has begun.
struct Gate {
    std::latch begun { 1 };
    std::latch released { 1 };

    void pass(bool leaves_place)
    {
        if (!leaves_place) {
            this->begun.count_down();
            this->released.wait();
            return;
        }
        WorkerThreads::Wait const wait;
        this->begun.count_down();
        this->released.wait();
    }
};

}

TEST_CASE("all work is run, also what is queued when the threads are shut down")
{
    std::atomic<int> runs { 0 };
    WorkerThreads threads(3);
    for (int index = 0; index < 200; ++index)
        threads.enqueue([&] { ++runs; });
    threads.shutdown();
    CHECK(runs == 200);
    CHECK(threads.queued() == 0);
}

TEST_CASE("work that runs keeps its place")
{
    Gate first;
    std::atomic<bool> has_run { false };
    WorkerThreads threads(1, 4);
    threads.enqueue([&] { first.pass(false); });
    first.begun.wait();
    threads.enqueue([&] { has_run = true; });
    CHECK(threads.queued() == 1);
    CHECK_FALSE(has_run);
    first.released.count_down();
    threads.shutdown();
    CHECK(has_run);
}

// Guards against slow clients that keep all threads.
TEST_CASE("work that waits leaves its place to others, which run before it goes on")
{
    Gate first;
    Gate second;
    std::latch third_ran { 1 };
    WorkerThreads threads(1, 2);
    threads.enqueue([&] { first.pass(true); });
    threads.enqueue([&] { second.pass(true); });
    threads.enqueue([&] { third_ran.count_down(); });
    third_ran.wait();
    first.begun.wait();
    second.begun.wait();
    first.released.count_down();
    second.released.count_down();
    threads.shutdown();
}

// Guards against any number of threads under a crowd of slow clients.
TEST_CASE("no more work than allowed leaves its place")
{
    Gate first;
    Gate second;
    std::atomic<bool> has_run { false };
    WorkerThreads threads(1, 1);
    threads.enqueue([&] { first.pass(true); });
    threads.enqueue([&] { second.pass(true); });
    first.begun.wait();
    second.begun.wait();
    threads.enqueue([&] { has_run = true; });
    CHECK(threads.queued() == 1);
    CHECK_FALSE(has_run);
    first.released.count_down();
    second.released.count_down();
    threads.shutdown();
    CHECK(has_run);
}

TEST_CASE("no more work runs at a time than there may be threads, also after some has waited")
{
    constexpr int rounds = 50;
    std::atomic<int> running { 0 };
    std::atomic<int> most_running { 0 };
    std::atomic<int> runs { 0 };
    WorkerThreads threads(1, 1);
    for (int round = 0; round < rounds; ++round) {
        threads.enqueue([&] { WorkerThreads::Wait const wait; });
        threads.enqueue([&] {
            most_running = std::max(most_running.load(), ++running);
            ++runs;
            --running;
        });
    }
    threads.shutdown();
    CHECK(runs == rounds);
    CHECK(most_running <= 2);
}
