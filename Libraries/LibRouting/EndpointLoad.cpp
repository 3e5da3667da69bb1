#include <LibRouting/EndpointLoad.h>

#include <algorithm>

namespace Routing {

void EndpointLoad::started(RequestId request, Workload const& workload, ExpectedTimes const& expected, Instant now)
{
    this->own_requests[request] = { expected, now, false };
    this->cached_prompts.record(workload.prompt, now);
    this->attempts.add(1, now);
}

void EndpointLoad::answered(RequestId request, Duration lateness, Instant now)
{
    auto const found = this->own_requests.find(request);
    if (found == this->own_requests.end())
        return;
    found->second.answer_begun = true;
    this->last_answer = now;
    auto const late = std::max(0.0, Core::to_seconds(lateness));
    this->lateness_seconds.set(std::max(late, this->lateness_seconds.value(now) / 2), now);
}

std::optional<Duration> EndpointLoad::ended(RequestId request, Instant now)
{
    auto const found = this->own_requests.find(request);
    if (found == this->own_requests.end())
        return {};
    auto const occupied = now - found->second.started;
    this->own_requests.erase(found);
    return occupied;
}

void EndpointLoad::succeeded()
{
    this->health.record_success();
    this->shed_count /= 2;
}

void EndpointLoad::failed(Instant now)
{
    this->health.record_failure(now);
    this->failures.add(1, now);
}

void EndpointLoad::shed(Instant now)
{
    this->shed_count = std::min(this->shed_count + 1, max_doublings);
    this->full_until = now + shed_pause * (1U << (this->shed_count - 1));
}

void EndpointLoad::update_reported_load(ReportedLoad const& reported, Instant now)
{
    auto const peers = reported.running + reported.waiting - static_cast<int>(this->own_requests.size());
    this->peers_running.set(std::max(0, peers), now);
}

bool EndpointLoad::takes_work(Instant now) const
{
    return now >= this->full_until && this->health.accepts_work(now, static_cast<int>(this->own_requests.size()));
}

void EndpointLoad::apply_peer(std::uint64_t box, Duration backlog, unsigned running, Instant at)
{
    this->peers[box] = { backlog, running, at };
}

Duration EndpointLoad::own_backlog() const
{
    Duration backlog { 0 };
    for (auto const& [id, request] : this->own_requests) {
        if (!request.answer_begun)
            backlog += request.expected.prefill;
    }
    return backlog;
}

Duration EndpointLoad::prefill_backlog(Instant now) const
{
    auto backlog = this->own_backlog() + Core::from_seconds(this->lateness_seconds.value(now));
    for (auto const& [box, share] : this->peers) {
        // NOTE: The engine has kept reading since the box reported this backlog.
        if (now - share.at <= peer_retention)
            backlog += std::max(Duration { 0 }, share.backlog - (now - share.at));
    }
    return backlog;
}

Duration EndpointLoad::overdue(Instant now) const
{
    Duration longest { 0 };
    for (auto const& [id, request] : this->own_requests) {
        // NOTE: An answer that began after this request was sent shows that the endpoint is alive.
        if (request.answer_begun || this->last_answer > request.started)
            continue;
        auto const allowed = 2 * request.expected.first_piece + overdue_margin;
        longest = std::max(longest, now - request.started - allowed);
    }
    return longest;
}

double EndpointLoad::running(Instant now) const
{
    double reported_by_boxes = 0;
    for (auto const& [box, share] : this->peers)
        reported_by_boxes += now - share.at <= peer_retention ? share.running : 0;
    return static_cast<double>(this->own_requests.size()) + std::max(reported_by_boxes, this->peers_running.value(now));
}

double EndpointLoad::failure_share(Instant now) const
{
    // NOTE: One is added to the attempts so that a single failure does not count as a high failure rate.
    return this->failures.value(now) / (this->attempts.value(now) + 1);
}

}
