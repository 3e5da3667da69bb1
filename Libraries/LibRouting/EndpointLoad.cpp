#include <LibRouting/EndpointLoad.h>

#include <algorithm>

namespace Routing {

void EndpointLoad::started(RequestId request, Workload const& workload, ExpectedTimes const& expected, Instant now)
{
    this->own[request] = { expected, now, false };
    this->prompts.remember(workload.prompt, now);
    this->attempts.add(1, now);
}

void EndpointLoad::answered(RequestId request, Duration lateness, Instant now)
{
    auto const found = this->own.find(request);
    if (found == this->own.end())
        return;
    found->second.answer_begun = true;
    this->last_answer = now;
    auto const late = std::max(0.0, Core::to_seconds(lateness));
    this->lateness_seconds.set(std::max(late, this->lateness_seconds.value(now) / 2), now);
}

void EndpointLoad::ended(RequestId request)
{
    this->own.erase(request);
}

void EndpointLoad::succeeded()
{
    this->health.record_success();
    this->turned_away /= 2;
}

void EndpointLoad::failed(Instant now)
{
    this->health.record_failure(now);
    this->failures.add(1, now);
}

void EndpointLoad::shed(Instant now)
{
    this->turned_away = std::min(this->turned_away + 1, most_doublings);
    this->full_until = now + pause_when_full * (1U << (this->turned_away - 1));
}

void EndpointLoad::take_told(ToldLoad const& told, Instant now)
{
    auto const peers = told.running + told.waiting - static_cast<int>(this->own.size());
    this->peers_running.set(std::max(0, peers), now);
}

bool EndpointLoad::takes_work(Instant now) const
{
    return now >= this->full_until && this->health.accepts_work(now, static_cast<int>(this->own.size()));
}

void EndpointLoad::take_peer(std::uint64_t box, Duration backlog, unsigned running, Instant at)
{
    this->peers[box] = { backlog, running, at };
}

Duration EndpointLoad::own_backlog() const
{
    Duration backlog { 0 };
    for (auto const& [id, request] : this->own) {
        if (!request.answer_begun)
            backlog += request.expected.prefill;
    }
    return backlog;
}

Duration EndpointLoad::prefill_backlog(Instant now) const
{
    auto backlog = this->own_backlog() + Core::from_seconds(this->lateness_seconds.value(now));
    for (auto const& [box, share] : this->peers) {
        // NOTE: The engine has read on since the box told this.
        if (now - share.at <= peer_memory)
            backlog += std::max(Duration { 0 }, share.backlog - (now - share.at));
    }
    return backlog;
}

Duration EndpointLoad::overdue(Instant now) const
{
    Duration longest { 0 };
    for (auto const& [id, request] : this->own) {
        // NOTE: An answer that began after this request was sent shows that the endpoint lives.
        if (request.answer_begun || this->last_answer > request.started)
            continue;
        auto const allowed = 2 * request.expected.first_piece + overdue_margin;
        longest = std::max(longest, now - request.started - allowed);
    }
    return longest;
}

double EndpointLoad::running(Instant now) const
{
    double told_by_boxes = 0;
    for (auto const& [box, share] : this->peers)
        told_by_boxes += now - share.at <= peer_memory ? share.running : 0;
    return static_cast<double>(this->own.size()) + std::max(told_by_boxes, this->peers_running.value(now));
}

double EndpointLoad::failure_share(Instant now) const
{
    // NOTE: One attempt more in the divisor, so that a single failure is not taken for a habit.
    return this->failures.value(now) / (this->attempts.value(now) + 1);
}

}
