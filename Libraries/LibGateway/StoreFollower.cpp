#include <LibGateway/StoreFollower.h>

#include <LibGateway/HttpStatus.h>
#include <LibGateway/WholeTopic.h>
#include <LibLog/EventLog.h>
#include <algorithm>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

namespace {

std::string_view to_string(Adapter::Topic topic)
{
    return topic == Adapter::Topic::Operator ? "operator" : "endpoints";
}

}

std::optional<OutageTracker::Outage> OutageTracker::answered()
{
    return std::exchange(this->outage, std::nullopt);
}

bool OutageTracker::failed(Instant now)
{
    bool const is_first = !this->outage;
    if (is_first)
        this->outage = Outage { now, 0 };
    ++this->outage->failed_calls;
    return is_first;
}

StoreFollower::StoreFollower(GatewayState& state, ControlRecords& records, Membership::ControlSource& source,
    Routing::SocketAddress address, Adapter::Topic topic, Paces paces, OnStoreReturn on_store_return)
    : state(state)
    , records(records)
    , source(source)
    , topic(topic)
    , paces(paces)
    , on_store_return(std::move(on_store_return))
    , connection(state.context, std::move(address))
    , pause(state.context)
{
}

Task<void> StoreFollower::run()
{
    while (!this->is_stopped) {
        if (!this->must_read() || this->waits_for_other()) {
            this->skips_wait = true;
            co_await this->pause.wait(this->source.poll_interval(monotonic_now()));
            continue;
        }
        this->is_read_wanted = false;
        bool const is_read = this->skips_to_newest() ? co_await this->read_newest() : co_await this->read_next();
        if (is_read) {
            this->failures = 0;
            auto const interval = this->pace().pause;
            if (interval > Core::Duration { 0 } && !this->is_behind)
                co_await this->pause.wait(interval);
            continue;
        }
        co_await this->pause.wait(this->source.retry_pause(this->failures++, monotonic_now()));
    }
}

bool StoreFollower::must_read() const
{
    // NOTE: A box without records can't serve requests, so it waits for a relay only as long as its start takes anyway.
    auto const now = monotonic_now();
    bool const was_never_read = !this->records.was_read(this->topic);
    if (was_never_read)
        return !this->source.awaits_first_answer(now);
    return this->is_behind || this->is_read_wanted || this->source.reads_store(now);
}

bool StoreFollower::waits_for_other() const
{
    if (!this->first_to_retry || !this->first_to_retry->has_failed || !this->has_failed)
        return false;
    // NOTE: Only while the other follower has to read for the same reason; otherwise it pauses, and no follower would
    // retry.
    auto const now = monotonic_now();
    bool const have_same_reason = this->records.was_read(this->topic) && !this->is_behind && !this->is_read_wanted;
    return have_same_reason && this->source.reads_store(now) && this->source.retries_one_topic(now);
}

StoreFollower::Pace const& StoreFollower::pace() const
{
    return this->source.is_relay(monotonic_now()) ? this->paces.as_relay : this->paces.alone;
}

void StoreFollower::read_now()
{
    this->is_read_wanted = true;
    this->wake();
}

void StoreFollower::after_suspension()
{
    this->skips_wait = true;
    this->suspension_ended_at = monotonic_now();
    this->wake();
}

void StoreFollower::stop()
{
    this->is_stopped = true;
    this->wake();
    this->connection.abort();
}

Task<bool> StoreFollower::read_newest()
{
    auto const asked_at = monotonic_now();
    Core::LastReason reason;
    auto const topic = co_await read_whole_topic(
        this->topic, reason, [this](std::string const& target) -> Task<std::optional<HttpAnswer>> {
            co_return co_await this->call(target, Core::Duration { 0 });
        });
    // NOTE: Pages of two eras don't form a list, so the topic is read anew at once.
    if (topic && topic->era != this->records.era() && this->records.era() != 0)
        co_return true;
    if (!topic) {
        if (!reason.text.empty()) {
            this->state.metrics.count_bad_record("newest");
            this->note_failure("unreadable answer: " + reason.text);
        }
        co_return false;
    }
    this->note_unreadable(topic->unreadable);
    this->records.set_next(this->topic, topic->end);
    this->is_behind = false;
    this->skips_wait = monotonic_now() - asked_at > this->pace().wait;
    this->apply(topic->records, asked_at, Coverage::WholeList);
    co_return true;
}

Task<bool> StoreFollower::read_next()
{
    auto const asked_at = monotonic_now();
    auto const from = *this->records.next(this->topic);
    auto const era = this->records.era();
    auto const wait = this->skips_wait ? Core::Duration { 0 } : this->pace().wait;
    auto const answer = co_await this->call(Adapter::records_target(this->topic, from, wait), wait);
    if (!answer)
        co_return false;
    // NOTE: The offset belongs to an earlier era, so other records may follow it now. The newest records are read next.
    if (this->records.era() != era)
        co_return true;
    Core::LastReason reason;
    auto const page = Adapter::decode_records(answer->body, from, reason);
    if (!page) {
        this->state.metrics.count_bad_record("records");
        this->note_failure("unreadable answer: " + reason.text);
        this->records.set_next(this->topic, std::nullopt);
        co_return false;
    }
    this->note_unreadable(page->unreadable);
    this->records.set_next(this->topic, page->next);
    bool const more_follows = page->next < page->end;
    // NOTE: If a page is empty although more records follow, the next read waits for the pause.
    this->is_behind = more_follows && (!page->records.empty() || this->topic == Adapter::Topic::Operator);
    bool const took_long = monotonic_now() - asked_at > this->pace().wait;
    // NOTE: Based on the suspension and not on the duration of the read, since a read over a narrow link takes as long.
    // If such boxes asked again at once, they would keep their links busy and get new versions too late.
    bool const was_sent_before_suspension_ended = this->suspension_ended_at && asked_at < *this->suspension_ended_at;
    this->skips_wait = was_sent_before_suspension_ended || (took_long && !page->records.empty());
    this->apply(page->records, asked_at, more_follows ? Coverage::Part : Coverage::UpToEnd);
    co_return true;
}

bool StoreFollower::skips_to_newest() const
{
    if (!this->records.next(this->topic))
        return true;
    // NOTE: Only the newest configuration matters, and every version takes the link about as long. If a box read them
    // one after another, a link that takes 0.43 s for each would never catch up with changes every third of a second.
    // Endpoint records are short, and all of them matter.
    return this->is_behind && this->topic == Adapter::Topic::Operator;
}

Task<std::optional<HttpAnswer>> StoreFollower::call(std::string const& target, Core::Duration wait)
{
    Core::LastReason reason;
    auto answer = co_await this->connection.get(target, { wait + first_byte_timeout, idle_timeout }, reason);
    this->state.metrics.count_store_bytes(this->connection.last_progress().received_bytes);
    this->has_failed = !answer || (answer->status != status_ok && !Adapter::is_gone(answer->status));
    if (!answer) {
        this->state.metrics.count_store_call(to_string(this->topic), "no-answer");
        this->note_failure(reason.text);
        co_return std::nullopt;
    }
    this->state.metrics.count_store_call(to_string(this->topic), std::to_string(answer->status));
    if (!this->records.observe_era(answer->era, std::nullopt, monotonic_now())) {
        this->note_failure("answer of an earlier era of the store");
        co_return std::nullopt;
    }
    if (answer->status == status_ok) {
        this->note_answer();
        co_return answer;
    }
    if (Adapter::is_gone(answer->status)) {
        Log::EventLine("store_history_gone").with("topic", to_string(this->topic)).info();
        this->records.set_next(this->topic, std::nullopt);
        co_return std::nullopt;
    }
    this->note_failure("status " + std::to_string(answer->status));
    co_return std::nullopt;
}

void StoreFollower::apply(std::vector<Adapter::KeyedRecord> const& records, Instant asked_at, Coverage coverage)
{
    if (this->topic == Adapter::Topic::Endpoints)
        this->records.apply_endpoint_records(records, asked_at, coverage);
    else
        this->records.apply_operator_records(records, asked_at, coverage);
}

void StoreFollower::note_unreadable(std::size_t count)
{
    if (count == 0)
        return;
    this->state.metrics.count_bad_record("record");
    Log::EventLine("store_records_unreadable").with("topic", to_string(this->topic)).with("count", count).info();
}

void StoreFollower::note_failure(std::string const& reason)
{
    this->source.store_failed(monotonic_now());
    if (this->outages.failed(monotonic_now()))
        Log::EventLine("store_lost").with("topic", to_string(this->topic)).with("reason", reason).warning();
}

void StoreFollower::note_answer()
{
    auto const now = monotonic_now();
    this->source.store_answered();
    auto const outage = this->outages.answered();
    if (!outage)
        return;
    this->on_store_return();
    if (this->topic == Adapter::Topic::Endpoints)
        this->records.store_returned(now);
    Log::EventLine("store_regained")
        .with("topic", to_string(this->topic))
        .with("away_ms", Core::to_milliseconds(now - outage->since))
        .with("failed_calls", outage->failed_calls)
        .warning();
}

}
