#include <LibServer/EventLoop.h>

#include <LibLog/EventLog.h>
#include <boost/asio/post.hpp>

namespace Server {

namespace {

Http::MemoryLimits limits_for(std::size_t memory_bytes)
{
    auto const bytes = static_cast<std::size_t>(static_cast<double>(memory_bytes) * EventLoop::share_for_connections);
    return { bytes, bytes / EventLoop::memory_per_reserve, EventLoop::small_request_bytes };
}

}

EventLoop::EventLoop(std::size_t memory_bytes)
    : work(this->context.get_executor())
    , answer_memory(std::make_shared<AnswerMemory>(memory_bytes / memory_per_held_answers))
    , shared_budget(std::make_shared<Http::ConnectionBudget>(limits_for(memory_bytes)))
{
    this->shared_budget->set_other_memory([held = this->answer_memory] { return held->held_bytes(); });
    this->thread = std::thread([this] { this->context.run(); });
}

EventLoop::~EventLoop()
{
    this->context.stop();
    this->thread.join();
}

void EventLoop::close_slow_readers(std::function<std::size_t()> needed)
{
    Http::asio::co_spawn(this->context, this->watch_slow_readers(std::move(needed)), Http::asio::detached);
}

Http::Task<void> EventLoop::watch_slow_readers(std::function<std::size_t()> needed)
{
    Http::BudgetCounts logged;
    for (;;) {
        co_await Http::sleep_for(check_interval);
        auto const now = Core::monotonic_now();
        for (auto count = needed(); count > 0 && this->shared_budget->close_slowest_reader(now); --count) { }
        auto const counts = this->shared_budget->counts();
        if (counts == logged)
            continue;
        Log::EventLine("connections_gave_way")
            .with("evicted", counts.evicted - logged.evicted)
            .with("refused", counts.refused - logged.refused)
            .with("used_bytes", this->shared_budget->used_bytes())
            .with("max_bytes", this->shared_budget->memory_limits().all_bytes)
            .warning();
        logged = counts;
    }
}

void LoopEvent::notify()
{
    Http::asio::post(this->context, [self = this->shared_from_this()] {
        self->is_set = true;
        self->timer.cancel();
    });
}

Http::Task<void> LoopEvent::wait()
{
    while (!this->is_set) {
        this->timer.expires_at(std::chrono::steady_clock::time_point::max());
        co_await this->timer.async_wait(Http::as_value);
    }
    this->is_set = false;
}

}
