#include <LibServer/RequestFlow.h>

#include <LibServer/WorkerThreads.h>

namespace Server {

void RequestFlow::push(FlowEvent event)
{
    if (auto const* const chunk = std::get_if<Chunk>(&event))
        this->hold(chunk->bytes.size());
    this->events.push(std::move(event));
    std::scoped_lock const lock(this->mutex);
    if (this->on_event)
        this->on_event();
}

bool RequestFlow::push_piece(std::string bytes)
{
    // Room that other answers leave is not notified.
    constexpr auto check_interval = std::chrono::milliseconds(20);
    {
        std::unique_lock lock(this->mutex);
        auto const may_go_on = [&] { return this->caller_gone || this->preempted || this->has_room_for(bytes.size()); };
        if (!may_go_on()) {
            WorkerThreads::Wait const wait;
            while (!this->room.wait_for(lock, check_interval, may_go_on)) { }
        }
    }
    if (this->must_stop())
        return false;
    // NOTE: A request that may not be repeated runs to its end without its caller.
    if (!this->caller_gone)
        this->push(Chunk { std::move(bytes) });
    return true;
}

bool RequestFlow::has_room_for(std::size_t bytes) const
{
    bool const is_full = this->answers != nullptr && this->answers->is_full_for_streams();
    return this->held == 0 || (this->held + bytes <= max_held_bytes && !is_full);
}

void RequestFlow::hold(std::size_t bytes)
{
    this->held += bytes;
    if (this->answers != nullptr)
        this->answers->add(bytes);
}

void RequestFlow::release(std::size_t bytes)
{
    this->held -= bytes;
    if (this->answers != nullptr)
        this->answers->remove(bytes);
}

std::optional<FlowEvent> RequestFlow::try_pop()
{
    FlowEvent event;
    if (!this->events.try_pop(event))
        return {};
    if (auto const* const chunk = std::get_if<Chunk>(&event)) {
        this->release(chunk->bytes.size());
        this->room.notify_all();
    }
    return event;
}

void RequestFlow::set_on_event(std::function<void()> event_pushed)
{
    std::scoped_lock const lock(this->mutex);
    this->on_event = std::move(event_pushed);
    if (this->on_event)
        this->on_event();
}

void RequestFlow::caller_has_gone()
{
    this->caller_gone = true;
    this->room.notify_all();
    if (this->class_settings.repeatable)
        this->stop_client();
}

void RequestFlow::preempt()
{
    this->preempted = true;
    this->room.notify_all();
    this->stop_client();
}

void RequestFlow::stop_client()
{
    std::scoped_lock const lock(this->mutex);
    if (this->active_client != nullptr)
        this->active_client->stop();
}

bool RequestFlow::begin_attempt(Http::BlockingClient& client)
{
    std::scoped_lock const lock(this->mutex);
    if (this->must_stop())
        return false;
    this->active_client = &client;
    return true;
}

void RequestFlow::end_attempt()
{
    std::scoped_lock const lock(this->mutex);
    this->active_client = nullptr;
    this->preempted = false;
}

void RequestFlow::set_fate_end(End end)
{
    std::scoped_lock const lock(this->mutex);
    this->end_by_fate = end;
}

std::optional<End> RequestFlow::fate_end()
{
    std::scoped_lock const lock(this->mutex);
    return this->end_by_fate;
}

}
