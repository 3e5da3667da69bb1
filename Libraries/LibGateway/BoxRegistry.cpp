#include <LibGateway/BoxRegistry.h>

#include <LibCore/Verify.h>
#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <LibMembership/CrashMessages.h>

#include <xxhash.h>

namespace Gateway {

using Core::Duration;
using Core::Instant;
using Core::monotonic_now;
using Membership::RelaySearch;

namespace {

/// Never 0, which stands for no records.
std::uint64_t fingerprint_of(std::string const& records)
{
    return XXH3_64bits(records.data(), records.size()) | 1U;
}

}

BoxRegistry::BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
    Membership::BoxRecord own, OnSourceFound on_source_found, OnBoxesRead on_boxes_read, std::uint64_t seed)
    : state(state)
    , source(source)
    , connection(state.context, std::move(store))
    , own(std::move(own))
    , on_source_found(std::move(on_source_found))
    , on_boxes_read(std::move(on_boxes_read))
    , relay_search(this->own, seed)
    , pause(state.context)
    , random(seed)
{
}

Task<void> BoxRegistry::run(Start start)
{
    this->settled_at = monotonic_now();
    if (start == Start::OfAllBoxes) {
        this->registers_at = this->settled_at + this->random_up_to(registration_spread);
        this->settled_at += settling_time;
    }
    this->lists_at = this->settled_at;
    co_await this->search();
    unsigned reads = 0;
    for (;;) {
        this->register_if_due(monotonic_now());
        co_await this->update_relay_record();
        auto pause = co_await this->update_list(reads);
        if (this->registers_at)
            pause = std::min(pause, std::max(*this->registers_at - monotonic_now(), Duration { 0 }));
        co_await this->write_queued(monotonic_now() + pause);
    }
}

struct BoxRegistry::SearchStep {
    BoxRegistry& registry;

    Task<Duration> operator()(RelaySearch::ReadRecord /*step*/) const
    {
        co_await this->registry.read_relay_record();
        co_return Duration { 0 };
    }
    Task<Duration> operator()(RelaySearch::Claim /*step*/) const
    {
        co_await this->registry.claim();
        co_return Duration { 0 };
    }
    Task<Duration> operator()(RelaySearch::Lead /*step*/) const
    {
        Log::EventLine("relay_search_ended").with("outcome", "leads").info();
        this->registry.source.boxes_unavailable();
        this->registry.on_source_found();
        co_return Duration { 0 };
    }
    Task<Duration> operator()(RelaySearch::Follow step) const
    {
        if (this->registry.first_relay != step.relay) {
            Log::EventLine("relay_search_ended").with("outcome", "follows").with("relay", step.relay.name).info();
            this->registry.first_relay = step.relay;
            this->registry.source.use_first_relay(step.relay);
            this->registry.on_source_found();
        }
        co_return search_check_interval;
    }
    Task<Duration> operator()(RelaySearch::Wait step) const { co_return step.duration; }
};

Task<void> BoxRegistry::search()
{
    while (this->source.is_searching()) {
        auto const now = monotonic_now();
        // NOTE: There is no list yet that could be read again, and write_queued() doesn't wait while one has to be
        // read.
        this->must_read = false;
        this->register_if_due(now);
        this->check_first_relay(now);
        auto const step = this->relay_search.next(now);
        SearchStep const perform { *this };
        auto const pause = co_await std::visit(perform, step);
        if (pause > Duration { 0 })
            co_await this->write_queued(monotonic_now() + std::min(pause, search_check_interval));
    }
}

void BoxRegistry::check_first_relay(Instant now)
{
    if (!this->first_relay)
        return;
    RelaySearch::RelayState const relay { this->source.unresponsive_since(this->first_relay->name),
        this->copy.has_value(), this->source.has_recent_data(now) };
    auto const loss = this->relay_search.loss(relay, now);
    if (!loss)
        return;
    Log::EventLine("first_relay_lost")
        .with("relay", this->first_relay->name)
        .with("reason", to_string(*loss))
        .warning();
    this->relay_search.relay_lost(this->first_relay->name, now);
    this->first_relay.reset();
}

Task<void> BoxRegistry::read_relay_record()
{
    auto const topic = co_await this->read_topic(Adapter::Topic::Relays);
    if (!topic) {
        this->relay_search.read_failed(monotonic_now());
        co_return;
    }
    this->relay_records_end = topic->end;
    std::optional<Membership::BoxRecord> found;
    for (auto const& record : topic->records) {
        if (record.key != this->own.failure_domain || !record.value)
            continue;
        found = Membership::decode_relay(*record.value);
        if (!found)
            this->state.metrics.count_bad_record("relay");
    }
    this->has_relay_record = found && *found == this->own;
    this->relay_search.record_read(found, monotonic_now());
}

Task<void> BoxRegistry::claim()
{
    auto const answer = co_await this->write_relay_record(this->relay_records_end);
    if (!answer)
        this->relay_search.read_failed(monotonic_now());
    else if (Adapter::is_append_conflict(answer->status))
        this->relay_search.claim_failed(monotonic_now());
    else
        this->relay_search.claimed();
}

Task<std::optional<HttpAnswer>> BoxRegistry::write_relay_record(std::optional<std::uint64_t> expected_end)
{
    auto const target = expected_end ? Adapter::append_target(Adapter::Topic::Relays, *expected_end)
                                     : Adapter::append_target(Adapter::Topic::Relays);
    // NOTE: Named because the compiler destroys a braced temporary in an awaited expression twice.
    Adapter::KeyedRecord const record { this->own.failure_domain, Membership::encode_relay(this->own) };
    Core::LastReason reason;
    auto answer = co_await this->connection.post(target, Adapter::encode_record(record), timeouts, reason);
    bool const is_conflict = answer && Adapter::is_append_conflict(answer->status);
    if (!is_conflict)
        answer = this->check_answer(std::move(answer), reason.text);
    this->has_relay_record = answer && !is_conflict;
    Log::EventLine("relay_record_written")
        .with("failure_domain", this->own.failure_domain)
        .with("outcome",
            is_conflict  ? "conflict"
                : answer ? "done"
                         : "unknown")
        .info();
    co_return answer;
}

Task<void> BoxRegistry::update_relay_record()
{
    auto const now = monotonic_now();
    bool const is_first = this->source.is_first_in_domain(now) && this->source.is_relay(now);
    if (!is_first)
        this->has_relay_record = false;
    else if (!this->has_relay_record)
        static_cast<void>(co_await this->write_relay_record({}));
}

Task<Duration> BoxRegistry::update_list(unsigned& reads)
{
    auto const now = monotonic_now();
    bool const reads_itself = this->source.reads_store(now) || !this->copy || this->must_read;
    if (!reads_itself && !this->reads_again)
        co_return short_pause;
    auto const soonest = std::max(this->settled_at, this->list_read_at + short_pause);
    auto const due = this->reads_again ? std::min(this->lists_at, soonest) : this->lists_at;
    if (now < due && !this->must_read)
        co_return std::min(due - now, short_pause);
    bool const is_requested = std::exchange(this->reads_again, false);
    this->list_read_at = now;
    // NOTE: All boxes notice a restored store within a second; the jitter spreads their reads.
    if (std::exchange(this->must_read, false))
        co_await sleep_for(this->random_up_to(short_pause));
    auto const topic = co_await this->read_topic(Adapter::Topic::Boxes);
    auto pause = short_pause;
    if (topic) {
        Membership::BoxRecords listed;
        for (auto const& record : topic->records)
            listed.emplace(record.key, record.value.value_or(""));
        this->last_read_at = this->list_read_at;
        this->rewrite_missing(listed);
        this->add_lost_records(listed);
        this->apply_records(listed, topic->era, topic->end);
        co_await this->delete_stale_records();
        bool const is_registered = !this->registers_at;
        if (is_registered)
            pause = this->source.list_interval(reads++, monotonic_now());
    } else {
        this->reads_again = this->reads_again || is_requested;
        this->on_boxes_read();
    }
    this->lists_at = monotonic_now() + this->with_jitter(pause);
    co_return Duration { 0 };
}

void BoxRegistry::read_again()
{
    if (!std::exchange(this->reads_again, true))
        this->pause.interrupt();
}

void BoxRegistry::apply_relayed(Membership::SharedBoxRecords const& relayed)
{
    if (relayed.version.is_older_than(this->records_version())) {
        Log::EventLine("box_records_outdated").with("end", relayed.version.end).info();
        return;
    }
    Core::LastReason reason;
    auto const text = relayed.records.text(reason);
    auto const records = text ? Membership::decode_box_records(*text) : std::nullopt;
    if (!records || records->empty()) {
        this->state.metrics.count_bad_record("boxes");
        Log::EventLine("box_records_rejected").with("reason", text ? "not box records" : reason.text).warning();
        return;
    }
    this->apply_records(*records, relayed.version.era, relayed.version.end);
}

void BoxRegistry::apply_records(Membership::BoxRecords const& records, std::uint64_t era, std::uint64_t end)
{
    auto const text = Membership::encode(records);
    Membership::BoxRecordsVersion const version { fingerprint_of(text), era, end };
    if (!records.empty() && version.fingerprint != this->records_version().fingerprint)
        Log::EventLine("boxes_listed")
            .with("records", records.size())
            .with("bytes", text.size())
            .with("end", end)
            .info();
    if (!records.empty())
        this->keep_copy(text, version);
    std::vector<Membership::BoxRecord> boxes;
    for (auto const& [key, value] : records) {
        if (Membership::is_crash_key(key)) {
            if (this->on_other_record && !value.empty())
                this->on_other_record(key, value);
            continue;
        }
        if (auto box = Membership::decode_box(key, value))
            boxes.push_back(std::move(*box));
        else
            this->state.metrics.count_bad_record("box");
    }
    auto const now = monotonic_now();
    this->source.update_boxes(std::move(boxes), now);
    this->state.metrics.set_boxes(this->source.boxes().size());
    this->check_own_record(now);
    this->on_boxes_read();
}

void BoxRegistry::keep_copy(std::string const& text, Membership::BoxRecordsVersion const& version)
{
    if (version.fingerprint == this->records_version().fingerprint) {
        if (version.end != 0)
            this->copy->version = version;
        return;
    }
    Core::LastReason reason;
    if (auto compressed = Membership::CompressedText::of(text, reason))
        this->copy = Membership::SharedBoxRecords { version, std::move(*compressed) };
    else
        Log::EventLine("box_records_not_compressed").with("reason", reason.text).warning();
}

void BoxRegistry::register_if_due(Instant now)
{
    if (!this->registers_at || now < *this->registers_at)
        return;
    this->registers_at.reset();
    this->registered_at = now;
    this->queued_writes.push_back({ this->own.name, Membership::encode(this->own) });
}

void BoxRegistry::check_own_record(Instant now)
{
    auto const* const listed = this->source.boxes().find(this->own.name);
    bool const is_listed = listed != nullptr && *listed == this->own;
    bool const was_just_written = this->registered_at && now - *this->registered_at < registration_grace;
    if (!is_listed && !was_just_written && !this->registers_at)
        this->registers_at = now + this->random_up_to(short_pause);
}

void BoxRegistry::queue_write(Adapter::KeyedRecord record)
{
    this->queued_writes.push_back(std::move(record));
    this->pause.interrupt();
}

Task<void> BoxRegistry::write_queued(Instant until)
{
    bool has_failed = false;
    for (auto now = monotonic_now(); now < until && !this->must_read; now = monotonic_now()) {
        if (this->queued_writes.empty() || has_failed) {
            auto const limit = this->queued_writes.empty() ? until - now : std::min(short_pause, until - now);
            co_await this->pause.wait(limit);
        }
        if (this->queued_writes.empty())
            continue;
        auto const record = this->queued_writes.front();
        has_failed = !co_await this->write(record);
        if (has_failed)
            continue;
        if (!record.value)
            this->written_records.erase(record.key);
        else if (record.key != this->own.name && this->written_records.size() < max_written_records)
            this->written_records.insert_or_assign(record.key, *record.value);
        this->queued_writes.pop_front();
    }
}

void BoxRegistry::store_restored()
{
    this->must_read = true;
    // NOTE: The copy may lack what this box has written.
    auto const now = monotonic_now();
    this->registers_at = now + this->random_up_to(registration_spread);
    this->keeps_lost_records_until = now + registration_grace;
    this->has_relay_record = false;
    this->pause.interrupt();
}

void BoxRegistry::add_lost_records(Membership::BoxRecords& listed) const
{
    if (!this->copy || !this->keeps_lost_records_until || monotonic_now() >= *this->keeps_lost_records_until)
        return;
    Core::LastReason reason;
    auto const text = this->copy->records.text(reason);
    auto const known = text ? Membership::decode_box_records(*text) : std::nullopt;
    VERIFY(known.has_value());
    listed.insert(known->begin(), known->end());
}

void BoxRegistry::rewrite_missing(Membership::BoxRecords const& listed)
{
    for (auto const& [key, value] : this->written_records) {
        if (!listed.contains(key))
            this->queue_write({ key, value });
    }
}

Task<std::optional<WholeTopic>> BoxRegistry::read_topic(Adapter::Topic topic)
{
    Core::LastReason reason;
    std::string call_reason;
    auto whole = co_await read_whole_topic(
        topic, reason, [&, this](std::string const& target) -> Task<std::optional<HttpAnswer>> {
            Core::LastReason of_call;
            auto answer = this->check_answer(co_await this->connection.get(target, timeouts, of_call), of_call.text);
            if (!answer)
                call_reason = "call failed";
            co_return answer;
        });
    if (!whole) {
        Log::EventLine(topic == Adapter::Topic::Relays ? "relay_records_unread" : "boxes_unread")
            .with("reason", reason.text.empty() ? call_reason : reason.text)
            .warning();
        co_return std::nullopt;
    }
    co_return std::move(*whole);
}

Task<bool> BoxRegistry::write(Adapter::KeyedRecord const& record)
{
    Core::LastReason reason;
    auto answer = co_await this->connection.post(
        Adapter::append_target(Adapter::Topic::Boxes), Adapter::encode_record(record), timeouts, reason);
    answer = this->check_answer(std::move(answer), reason.text);
    // NOTE: Writing a record twice does no harm, so a write whose answer was lost is simply repeated.
    Log::EventLine(record.value ? "box_record_written" : "box_record_dropped")
        .with("box", record.key)
        .with("outcome", answer ? "done" : "unknown")
        .info();
    co_return answer.has_value();
}

Task<void> BoxRegistry::delete_stale_records()
{
    for (auto const& name : this->source.unresponsive_boxes(monotonic_now())) {
        Adapter::KeyedRecord const deletion { name, std::nullopt };
        static_cast<void>(co_await this->write(deletion));
    }
}

std::optional<HttpAnswer> BoxRegistry::check_answer(std::optional<HttpAnswer> answer, std::string const& reason)
{
    this->state.metrics.count_store_bytes(this->connection.last_progress().received_bytes);
    this->state.metrics.count_store_call("boxes", answer ? std::to_string(answer->status) : "no-answer");
    if (answer && answer->status == status_ok)
        return answer;
    Log::EventLine("box_record_call_failed")
        .with("reason", answer ? "status " + std::to_string(answer->status) : reason)
        .warning();
    return std::nullopt;
}

Duration BoxRegistry::with_jitter(Duration pause)
{
    // NOTE: Up to half the pause is added, so that boxes that started together don't keep calling the store together.
    return pause + this->random_up_to(pause / 2);
}

Duration BoxRegistry::random_up_to(Duration limit)
{
    return Duration { std::uniform_int_distribution<Duration::rep>(0, limit.count())(this->random) };
}

}
