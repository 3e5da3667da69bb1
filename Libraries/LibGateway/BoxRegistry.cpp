#include <LibGateway/BoxRegistry.h>

#include <LibGateway/HttpStatus.h>
#include <LibGateway/WholeTopic.h>
#include <LibLog/EventLog.h>
#include <LibMembership/CrashMessages.h>

namespace Gateway {

using Core::monotonic_now;

BoxRegistry::BoxRegistry(GatewayState& state, Membership::ControlSource& source, Routing::SocketAddress store,
    Membership::BoxRecord own, OnBoxes on_boxes, std::uint64_t seed)
    : state(state)
    , source(source)
    , connection(state.context, std::move(store))
    , own(std::move(own))
    , on_boxes(std::move(on_boxes))
    , pause(state.context)
    , random(seed)
{
}

Task<void> BoxRegistry::run(Start start)
{
    // NOTE: The compiler destroys a temporary twice that is made of braces in the expression awaited, so it has a name.
    Adapter::KeyedRecord const own_record { this->own.name, Membership::encode(this->own) };
    if (start == Start::OfAllBoxes) {
        static_cast<void>(co_await this->write(own_record));
        co_await sleep_for(settling_time);
    }
    unsigned readings = 0;
    for (;;) {
        auto pause = short_pause;
        // NOTE: All boxes learn of it within a second, so they don't all ask in the same moment.
        if (std::exchange(this->has_to_read, false))
            co_await sleep_for(this->spread(short_pause) - short_pause);
        if (auto boxes = co_await this->read()) {
            this->source.take_boxes(std::move(*boxes), monotonic_now());
            this->state.metrics.set_boxes(this->source.boxes().size());
            this->on_boxes();
            auto const* const listed = this->source.boxes().find(this->own.name);
            bool const is_listed = listed && *listed == this->own;
            if (is_listed)
                pause = this->source.list_pause(readings++, monotonic_now());
            else
                static_cast<void>(co_await this->write(own_record));
            co_await this->drop_left_over_records();
        } else {
            this->source.boxes_unknown();
            this->on_boxes();
        }
        co_await this->write_kept(monotonic_now() + this->spread(pause));
    }
}

void BoxRegistry::keep(Adapter::KeyedRecord record)
{
    this->kept.push_back(std::move(record));
    this->pause.interrupt();
}

Task<void> BoxRegistry::write_kept(Core::Instant until)
{
    bool is_refused = false;
    for (auto now = monotonic_now(); now < until && !this->has_to_read; now = monotonic_now()) {
        if (this->kept.empty() || is_refused)
            co_await this->pause.wait(this->kept.empty() ? until - now : std::min(short_pause, until - now));
        if (this->kept.empty())
            continue;
        auto const record = this->kept.front();
        is_refused = !co_await this->write(record);
        if (is_refused)
            continue;
        if (!record.value)
            this->written.erase(record.key);
        else if (this->written.size() < most_written_remembered)
            this->written.insert_or_assign(record.key, *record.value);
        this->kept.pop_front();
    }
}

void BoxRegistry::store_restored()
{
    this->has_to_read = true;
    this->pause.interrupt();
}

void BoxRegistry::keep_what_is_missing(std::set<std::string> const& listed)
{
    for (auto const& [key, value] : this->written) {
        if (!listed.contains(key))
            this->keep({ key, value });
    }
}

Task<std::optional<std::vector<Membership::BoxRecord>>> BoxRegistry::read()
{
    Core::LastReason reason;
    auto const topic = co_await read_whole_topic(
        Adapter::Topic::Boxes, reason, [this](std::string const& target) -> Task<std::optional<StoreAnswer>> {
            Core::LastReason call_reason;
            auto answer = co_await this->connection.get(target, timeouts, call_reason);
            co_return this->accepted(std::move(answer), call_reason.text);
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
            if (this->on_other && record.value)
                this->on_other(record.key, *record.value);
            continue;
        }
        auto box = Membership::decode_box(record.key, record.value.value_or(""));
        if (box)
            boxes.push_back(std::move(*box));
        else
            this->state.metrics.count_bad_record("box");
    }
    this->keep_what_is_missing(listed);
    co_return boxes;
}

Task<bool> BoxRegistry::write(Adapter::KeyedRecord const& record)
{
    Core::LastReason reason;
    auto answer = co_await this->connection.post(
        Adapter::append_target(Adapter::Topic::Boxes), Adapter::encode_record(record), timeouts, reason);
    answer = this->accepted(std::move(answer), reason.text);
    // NOTE: Writing a record twice does no harm, so nothing has to be known of a write whose answer was lost.
    Log::EventLine(record.value ? "box_record_written" : "box_record_dropped")
        .with("box", record.key)
        .with("outcome", answer ? "done" : "unknown")
        .info();
    co_return answer.has_value();
}

Task<void> BoxRegistry::drop_left_over_records()
{
    for (auto const& name : this->source.long_gone(monotonic_now())) {
        Adapter::KeyedRecord const dropped { name, std::nullopt };
        static_cast<void>(co_await this->write(dropped));
    }
}

std::optional<StoreAnswer> BoxRegistry::accepted(std::optional<StoreAnswer> answer, std::string const& reason)
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

Core::Duration BoxRegistry::spread(Core::Duration pause)
{
    // NOTE: Up to half as long again, so that boxes that started together don't ask together for ever.
    return pause
        + Core::Duration { std::uniform_int_distribution<Core::Duration::rep>(0, pause.count() / 2)(this->random) };
}

}
