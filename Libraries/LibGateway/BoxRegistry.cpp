#include <LibGateway/BoxRegistry.h>

#include <LibGateway/HttpStatus.h>
#include <LibGateway/WholeTopic.h>
#include <LibLog/EventLog.h>
#include <LibMembership/CrashMessages.h>

namespace Gateway {

using Core::monotonic_now;

BoxRegistry::BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
    Membership::BoxRecord own, OnBoxesRead on_boxes_read, std::uint64_t seed)
    : state(state)
    , source(source)
    , connection(state.context, std::move(store))
    , own(std::move(own))
    , on_boxes_read(std::move(on_boxes_read))
    , pause(state.context)
    , random(seed)
{
}

Task<void> BoxRegistry::run(Start start)
{
    // NOTE: Named because the compiler destroys a braced temporary in an awaited expression twice.
    Adapter::KeyedRecord const own_record { this->own.name, Membership::encode(this->own) };
    if (start == Start::OfAllBoxes) {
        static_cast<void>(co_await this->write(own_record));
        co_await sleep_for(settling_time);
    }
    unsigned reads = 0;
    for (;;) {
        auto pause = short_pause;
        // NOTE: All boxes notice a restored store within a second; the jitter spreads their reads.
        if (std::exchange(this->must_read, false))
            co_await sleep_for(this->with_jitter(short_pause) - short_pause);
        if (auto boxes = co_await this->read_boxes()) {
            this->source.update_boxes(std::move(*boxes), monotonic_now());
            this->state.metrics.set_boxes(this->source.boxes().size());
            this->on_boxes_read();
            auto const* const listed = this->source.boxes().find(this->own.name);
            bool const is_listed = listed && *listed == this->own;
            if (is_listed)
                pause = this->source.list_interval(reads++, monotonic_now());
            else
                static_cast<void>(co_await this->write(own_record));
            co_await this->delete_stale_records();
        } else {
            this->source.boxes_unavailable();
            this->on_boxes_read();
        }
        co_await this->write_queued(monotonic_now() + this->with_jitter(pause));
    }
}

void BoxRegistry::queue_write(Adapter::KeyedRecord record)
{
    this->queued_writes.push_back(std::move(record));
    this->pause.interrupt();
}

Task<void> BoxRegistry::write_queued(Core::Instant until)
{
    bool has_failed = false;
    for (auto now = monotonic_now(); now < until && !this->must_read; now = monotonic_now()) {
        if (this->queued_writes.empty() || has_failed)
            co_await this->pause.wait(this->queued_writes.empty() ? until - now : std::min(short_pause, until - now));
        if (this->queued_writes.empty())
            continue;
        auto const record = this->queued_writes.front();
        has_failed = !co_await this->write(record);
        if (has_failed)
            continue;
        if (!record.value)
            this->written_records.erase(record.key);
        else if (this->written_records.size() < max_written_records)
            this->written_records.insert_or_assign(record.key, *record.value);
        this->queued_writes.pop_front();
    }
}

void BoxRegistry::store_restored()
{
    this->must_read = true;
    this->pause.interrupt();
}

void BoxRegistry::rewrite_missing(std::set<std::string> const& listed)
{
    for (auto const& [key, value] : this->written_records) {
        if (!listed.contains(key))
            this->queue_write({ key, value });
    }
}

Task<std::optional<std::vector<Membership::BoxRecord>>> BoxRegistry::read_boxes()
{
    Core::LastReason reason;
    auto const topic = co_await read_whole_topic(
        Adapter::Topic::Boxes, reason, [this](std::string const& target) -> Task<std::optional<HttpAnswer>> {
            Core::LastReason call_reason;
            auto answer = co_await this->connection.get(target, timeouts, call_reason);
            co_return this->check_answer(std::move(answer), call_reason.text);
        });
    if (!topic) {
        Log::EventLine("boxes_unread").with("reason", reason.text).warning();
        co_return std::nullopt;
    }
    std::vector<Membership::BoxRecord> boxes;
    std::set<std::string> listed;
    for (auto const& record : topic->records) {
        listed.insert(record.key);
        if (Membership::is_crash_key(record.key)) {
            if (this->on_other_record && record.value)
                this->on_other_record(record.key, *record.value);
            continue;
        }
        auto box = Membership::decode_box(record.key, record.value.value_or(""));
        if (box)
            boxes.push_back(std::move(*box));
        else
            this->state.metrics.count_bad_record("box");
    }
    this->rewrite_missing(listed);
    co_return boxes;
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

Core::Duration BoxRegistry::with_jitter(Core::Duration pause)
{
    // NOTE: Up to half the pause is added, so that boxes that started together don't keep calling the store together.
    return pause
        + Core::Duration { std::uniform_int_distribution<Core::Duration::rep>(0, pause.count() / 2)(this->random) };
}

}
