// How RequestExchange keeps a stream at the software version of the endpoint that began it.

#include <LibGateway/RequestExchange.h>

#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;
using Core::Reason;
using Routing::RouteKind;

Task<std::optional<Routing::Rejected>> RequestExchange::resolve_stream_origin()
{
    bool const was_begun_elsewhere = this->forwarded && this->forwarded->stream_version;
    bool const takes_up = this->takes_up_stream && this->admitted->route->kind == RouteKind::Streaming;
    if (this->admitted->stream_version || !(takes_up || was_begun_elsewhere))
        co_return std::nullopt;
    auto const started = monotonic_now();
    std::optional<Routing::StreamOrigin> origin;
    if (was_begun_elsewhere) {
        origin = { this->admitted->service, *this->forwarded->stream_version };
    } else if (!this->taken_up_attempt.empty()) {
        auto const stream = Routing::stream_id_of(this->admitted->account, this->taken_up_attempt);
        origin = co_await this->state.stream_origin_exchange.find(stream);
    } else if (auto const version
        = this->state.router.only_version(this->admitted->service, started - this->max_stream_duration(), started)) {
        origin = { this->admitted->service, *version };
    }
    bool const may_continue = origin && Routing::RequestRouter::restrict_to_origin(*this->admitted, *origin);
    Log::EventLine("stream_taken_up")
        .with("id", this->attempt_id)
        .with("takes_up", this->taken_up_attempt)
        .with("service", origin ? origin->service : "unknown")
        .with("version", origin ? origin->version : "unknown")
        .with("may_continue", may_continue ? "yes" : "no")
        .with("took_ms", Core::to_milliseconds(monotonic_now() - started))
        .info();
    if (may_continue)
        co_return std::nullopt;
    co_return Routing::Rejected { Reason::StreamOriginUnknown, retry_after_unknown_stream };
}

Core::Duration RequestExchange::max_stream_duration() const
{
    // NOTE: The client may come back for as long as it waits, which may be longer than the route allows one attempt.
    auto const patience = std::max(this->patience.value_or(Core::Duration { 0 }), this->admitted->route->timeout);
    return std::min(patience, max_stream_age);
}

void RequestExchange::note_stream_began(Attempt const& attempt)
{
    bool const begins = this->splits_events && this->events.has_events() && !this->admitted->stream_version;
    if (!begins)
        return;
    this->admitted->stream_version = attempt.placed.endpoint.version;
    this->is_stream_version_unknown = attempt.placed.is_entry_outdated;
    if (this->is_stream_version_unknown)
        return;
    bool const was_noted_by_other_box = attempt.placed.endpoint.incarnation.empty();
    if (was_noted_by_other_box || this->attempt_id.empty())
        return;
    this->state.stream_origin_exchange.stream_began({ Routing::stream_id_of(this->admitted->account, this->attempt_id),
        { this->admitted->service, attempt.placed.endpoint.version }, this->max_stream_duration() });
}

}
