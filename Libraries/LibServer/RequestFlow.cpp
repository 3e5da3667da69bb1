#include <LibServer/RequestFlow.h>

#include <httplib.h>

namespace Server {

FlowEvent RequestFlow::pop()
{
    FlowEvent event;
    this->events.pop(event);
    return event;
}

void RequestFlow::caller_has_gone()
{
    this->caller_gone = true;
    if (this->class_settings.repeatable)
        this->stop_client();
}

void RequestFlow::preempt()
{
    this->preempted = true;
    this->stop_client();
}

void RequestFlow::stop_client()
{
    std::scoped_lock const lock(this->mutex);
    if (this->active_client != nullptr)
        this->active_client->stop();
}

bool RequestFlow::begin_attempt(httplib::Client& client)
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
