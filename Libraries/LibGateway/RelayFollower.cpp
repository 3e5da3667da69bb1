#include <LibGateway/RelayFollower.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;

namespace {

/// When the relay saw the store's current era begin; empty if it has seen no earlier one.
std::optional<Core::Instant> era_began_at(Membership::ControlAnswer const& answer, Core::Instant asked_at)
{
    return answer.store_era_began_ago ? std::optional(asked_at - *answer.store_era_began_ago) : std::nullopt;
}

}

RelayFollower::RelayFollower(GatewayState& state, ControlRecords& records, Membership::ControlSource& source,
    OnStoreReadNeeded on_store_read_needed, OnMissingConfiguration on_missing_configuration)
    : state(state)
    , records(records)
    , source(source)
    , on_store_read_needed(std::move(on_store_read_needed))
    , on_missing_configuration(std::move(on_missing_configuration))
    , pause(state.context)
{
}

Task<void> RelayFollower::run()
{
    for (;;) {
        auto relay = this->source.relay(monotonic_now());
        // NOTE: If a relay fails, the next candidate is asked at once, so that not all boxes of its failure domain read
        // the store one after another.
        while (relay) {
            bool const is_answered = co_await this->ask(*relay);
            if (is_answered)
                break;
            relay = this->source.relay(monotonic_now());
        }
        bool const reads_store = this->source.reads_store(monotonic_now());
        if (reads_store && !this->is_reading_store) {
            Log::EventLine("store_reading_begun")
                .with("why", this->store_reading_reason(relay))
                .with("boxes", this->source.boxes().size())
                .info();
            this->on_store_read_needed();
        }
        this->is_reading_store = reads_store;
        co_await this->pause.wait(this->source.poll_interval(monotonic_now()));
    }
}

Task<bool> RelayFollower::ask(Membership::BoxRecord const& relay)
{
    this->connect_to(relay);
    auto const asked_at = monotonic_now();
    Core::LastReason reason;
    auto const request = Membership::encode(this->records.request(asked_at));
    auto const reply = co_await this->call(request, this->source.relay_timeout_for(relay, asked_at), reason);
    if (!reply) {
        this->note_failure(relay, reason.text);
        co_return false;
    }
    // NOTE: The relay has just started too. Waiting about 50 ms for its first read spares the store a read by each of
    // hundreds of boxes that lost power together.
    if (reply->status == status_unavailable && this->source.awaits_first_answer(monotonic_now()))
        co_return true;
    if (reply->status != status_ok) {
        this->note_failure(relay, "status " + std::to_string(reply->status));
        co_return false;
    }
    auto const answer = Membership::decode_answer(reply->body);
    if (!answer) {
        this->note_failure(relay, "unreadable answer");
        co_return false;
    }
    if (!this->records.observe_era(answer->store_era, era_began_at(*answer, asked_at), monotonic_now())) {
        this->note_failure(relay, "answer of an earlier era of the store");
        co_return false;
    }
    auto const confirmed_at = asked_at - std::max(answer->endpoints_age, answer->configuration_age);
    bool const is_recent = this->source.is_recent(confirmed_at, monotonic_now());
    this->source.relay_answered(relay.name, confirmed_at, monotonic_now());
    this->state.metrics.count_relay_question(is_recent ? "answered" : "old");
    // NOTE: A newer version is useful however old the relay's confirmation is; an old confirmation just renews no
    // lease.
    if (is_recent && !this->is_answering)
        Log::EventLine("relay_in_use")
            .with("relay", relay.name)
            .with("age_ms", Core::to_milliseconds(monotonic_now() - confirmed_at))
            .info();
    this->is_answering = is_recent;
    if (!this->records.apply_relayed(*answer, relay.failure_domain, asked_at))
        this->on_missing_configuration();
    co_return true;
}

std::string_view RelayFollower::store_reading_reason(std::optional<Membership::BoxRecord> const& relay) const
{
    if (!relay)
        return this->source.is_relay(monotonic_now()) ? "relay for other boxes" : "no relay available";
    return this->is_answering ? "relay's records are outdated" : "relay failed";
}

Task<std::optional<HttpAnswer>> RelayFollower::call(
    std::string const& request, Core::Duration timeout, Core::LastReason& last_reason)
{
    // NOTE: Limits the whole call, since a relay that sends its answer in tiny pieces could keep it going for 27 s,
    // during which the next candidate would not be asked.
    auto const longest = this->source.max_answer_time();
    auto const whole = std::make_shared<CallWatchdog>(
        this->state.context, CallTimeouts { longest, longest }, [this] { this->connection->abort(); });
    whole->start();
    CallTimeouts const timeouts { timeout, timeout };
    auto answer = co_await this->connection->post(std::string(control_path), request, timeouts, last_reason);
    whole->finish();
    co_return answer;
}

void RelayFollower::connect_to(Membership::BoxRecord const& relay)
{
    if (this->connection && this->relay_name == relay.name && this->relay_address == relay.address)
        return;
    if (this->connection)
        this->connection->abort();
    this->connection.emplace(this->state.context, relay.address);
    this->relay_name = relay.name;
    this->relay_address = relay.address;
    this->is_answering = false;
}

void RelayFollower::note_failure(Membership::BoxRecord const& relay, std::string const& reason)
{
    this->state.metrics.count_relay_question("failed");
    Log::EventLine("relay_lost").with("relay", relay.name).with("reason", reason).warning();
    this->is_answering = false;
    this->source.relay_failed(relay.name, monotonic_now());
}

}
