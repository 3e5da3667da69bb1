#include <LibRouting/EndpointLoad.h>

#include <algorithm>

namespace Routing {

void EndpointLoad::started(RequestId request, Workload const& workload, Duration prefill, Instant now)
{
    this->own[request] = { prefill, false };
    this->prompts.remember(workload.prompt, now);
    this->attempts.add(1, now);
}

void EndpointLoad::answered(RequestId request, Duration lateness, Instant now)
{
    auto const found = this->own.find(request);
    if (found == this->own.end())
        return;
    found->second.answer_begun = true;
    auto const late = std::max(0.0, Core::to_seconds(lateness));
    this->lateness_seconds.set(std::max(late, this->lateness_seconds.value(now) / 2), now);
}

void EndpointLoad::ended(RequestId request)
{
    this->own.erase(request);
}

void EndpointLoad::succeeded()
{
    this->health.succeeded();
}

void EndpointLoad::failed(Instant now)
{
    this->health.failed(now);
    this->failures.add(1, now);
}

void EndpointLoad::shed(Instant now)
{
    this->full_until = now + pause_when_full;
}

void EndpointLoad::take_told(ToldLoad const& told, Instant now)
{
    auto const peers = told.running + told.waiting - static_cast<int>(this->own.size());
    this->peers_running.set(std::max(0, peers), now);
}

bool EndpointLoad::takes_work(Instant now) const
{
    return now >= this->full_until && this->health.takes_work(now, static_cast<int>(this->own.size()));
}

Duration EndpointLoad::prefill_backlog(Instant now) const
{
    Duration backlog { 0 };
    for (auto const& [id, request] : this->own) {
        if (!request.answer_begun)
            backlog += request.prefill;
    }
    return backlog + Core::from_seconds(this->lateness_seconds.value(now));
}

double EndpointLoad::running(Instant now) const
{
    return static_cast<double>(this->own.size()) + this->peers_running.value(now);
}

double EndpointLoad::failure_share(Instant now) const
{
    // NOTE: One attempt more in the divisor, so that a single failure is not taken for a habit.
    return this->failures.value(now) / (this->attempts.value(now) + 1);
}

}
