#include <LibGateway/RelayFollower.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;

namespace {

/// When the relay heard of the beginning of the store's present history; nothing if it heard of no earlier one.
std::optional<Core::Instant> risen_at(Membership::ControlAnswer const& answer, Core::Instant asked_at)
{
    return answer.store_era_risen_ago ? std::optional(asked_at - *answer.store_era_risen_ago) : std::nullopt;
}

}

RelayFollower::RelayFollower(GatewayState& state, ControlRecords& records, Membership::ControlSource& source,
    OnChange on_change, OnMissingConfiguration on_missing_configuration)
    : state(state)
    , records(records)
    , source(source)
    , on_change(std::move(on_change))
    , on_missing_configuration(std::move(on_missing_configuration))
    , pause(state.context)
{
}

Task<void> RelayFollower::run()
{
    for (;;) {
        auto relay = this->source.relay(monotonic_now());
        // NOTE: The next one is asked at once, so that the domain of a box that dies doesn't read the store, box by
        // box.
        while (relay) {
            bool const is_answered = co_await this->ask(*relay);
            if (is_answered)
                break;
            relay = this->source.relay(monotonic_now());
        }
        bool const reads_store = this->source.reads_store(monotonic_now());
        if (reads_store && !this->was_reading_store) {
            Log::EventLine("store_reading_begun")
                .with("why", this->why_it_reads(relay))
                .with("boxes", this->source.boxes().size())
                .info();
            this->on_change();
        }
        this->was_reading_store = reads_store;
        co_await this->pause.wait(this->source.poll_interval(monotonic_now()));
    }
}

Task<bool> RelayFollower::ask(Membership::BoxRecord const& relay)
{
    this->use(relay);
    auto const asked_at = monotonic_now();
    Core::LastReason reason;
    auto const question = Membership::encode(this->records.question(asked_at));
    auto const reply = co_await this->call(question, this->source.patience_with(relay, asked_at), reason);
    if (!reply) {
        this->note_failure(relay, reason.text);
        co_return false;
    }
    // NOTE: The relay has started too. Whoever waits for it is told within some 50 ms, and a read of the store for each
    // of hundreds of boxes that lost power together is spared.
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
    if (!this->records.hear_era(answer->store_era, risen_at(*answer, asked_at), monotonic_now())) {
        this->note_failure(relay, "knows an earlier history of the store");
        co_return false;
    }
    auto const vouched_at = asked_at - std::max(answer->endpoints_age, answer->configuration_age);
    bool const is_recent = this->source.is_recent(vouched_at, monotonic_now());
    this->source.relay_answered(relay.name, vouched_at, monotonic_now());
    this->state.metrics.count_relay_question(is_recent ? "answered" : "old");
    // NOTE: A version that is newer than this box's own is of use however late it comes; its age renews no lease.
    if (is_recent && !this->is_answering)
        Log::EventLine("relay_in_use")
            .with("relay", relay.name)
            .with("age_ms", Core::to_milliseconds(monotonic_now() - vouched_at))
            .info();
    this->is_answering = is_recent;
    if (!this->records.take_relayed(*answer, relay.failure_domain, asked_at))
        this->on_missing_configuration();
    co_return true;
}

std::string_view RelayFollower::why_it_reads(std::optional<Membership::BoxRecord> const& relay) const
{
    if (!relay)
        return this->source.is_relay(monotonic_now()) ? "relay of others" : "nobody to ask";
    return this->is_answering ? "relay's knowledge too old" : "relay failed";
}

Task<std::optional<StoreAnswer>> RelayFollower::call(
    std::string const& question, Core::Duration patience, Core::LastReason& last_reason)
{
    // NOTE: Guards against a relay that answers by drops. Where no piece is late a call may last for 27 s, and for as
    // long the next box of the order would not be asked.
    auto const longest = this->source.longest_answer();
    auto const whole = std::make_shared<CallWatchdog>(
        this->state.context, CallTimeouts { longest, longest }, [this] { this->connection->abort(); });
    whole->start();
    CallTimeouts const timeouts { patience, patience };
    auto answer = co_await this->connection->post(std::string(control_path), question, timeouts, last_reason);
    whole->finish();
    co_return answer;
}

void RelayFollower::use(Membership::BoxRecord const& relay)
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
