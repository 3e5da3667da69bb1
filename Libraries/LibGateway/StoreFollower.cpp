#include <LibGateway/StoreFollower.h>

#include <LibLog/EventLog.h>
#include <algorithm>
#include <iterator>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

namespace {

constexpr unsigned status_ok = 200;

std::string_view to_string(Adapter::Topic topic)
{
    return topic == Adapter::Topic::Operator ? "operator" : "endpoints";
}

}

bool StoreLink::answered(Instant)
{
    bool const was_away = this->away_since.has_value();
    this->away_since.reset();
    return was_away;
}

bool StoreLink::failed(Instant now)
{
    bool const is_first = !this->away_since;
    if (is_first)
        this->away_since = now;
    return is_first;
}

Core::Duration StoreLink::away_for(Instant now) const
{
    return this->away_since ? now - *this->away_since : Core::Duration { 0 };
}

StoreFollower::StoreFollower(GatewayState& state, Routing::SocketAddress address, Adapter::Topic topic, Pace pace)
    : state(state)
    , topic(topic)
    , pace(pace)
    , connection(state.context, std::move(address))
{
}

Task<void> StoreFollower::run()
{
    while (!this->is_stopped) {
        bool const is_read = this->next ? co_await this->read_next() : co_await this->read_newest();
        if (is_read) {
            this->failure_pause = first_pause_after_failure;
            if (this->pace.pause > Core::Duration { 0 })
                co_await sleep_for(this->pace.pause);
            continue;
        }
        co_await sleep_for(this->failure_pause);
        this->failure_pause = std::min(this->failure_pause * 2, longest_pause_after_failure);
    }
}

void StoreFollower::stop()
{
    this->is_stopped = true;
    this->connection.abort();
}

Task<bool> StoreFollower::read_newest()
{
    auto const asked_at = monotonic_now();
    std::vector<Adapter::KeyedRecord> records;
    std::optional<std::string> after;
    std::optional<std::uint64_t> first_end;
    do {
        auto const answer = co_await this->call(Adapter::newest_target(this->topic, after), answer_patience);
        if (!answer)
            co_return false;
        Core::LastReason reason;
        auto page = Adapter::decode_newest(answer->body, reason);
        if (!page) {
            this->state.metrics.count_bad_record("newest");
            this->note_failure("unreadable answer: " + reason.text);
            co_return false;
        }
        // NOTE: Pages are not a snapshot, so what follows is read from the end as it was at the first one.
        if (!first_end)
            first_end = page->end;
        after = page->continue_after;
        std::ranges::move(page->records, std::back_inserter(records));
    } while (after);
    this->next = first_end;
    this->take(records, asked_at, true);
    co_return true;
}

Task<bool> StoreFollower::read_next()
{
    auto const asked_at = monotonic_now();
    auto const answer = co_await this->call(
        Adapter::records_target(this->topic, *this->next, this->pace.wait), this->pace.wait + answer_patience);
    if (!answer)
        co_return false;
    Core::LastReason reason;
    auto const page = Adapter::decode_records(answer->body, *this->next, reason);
    if (!page) {
        this->state.metrics.count_bad_record("records");
        this->note_failure("unreadable answer: " + reason.text);
        this->next.reset();
        co_return false;
    }
    this->next = page->next;
    this->take(page->records, asked_at, false);
    if (this->topic == Adapter::Topic::Operator && page->next >= page->end)
        this->state.router.confirm_configuration(asked_at);
    co_return true;
}

Task<std::optional<StoreAnswer>> StoreFollower::call(std::string const& target, Core::Duration patience)
{
    Core::LastReason reason;
    auto answer = co_await this->connection.get(target, patience, reason);
    if (!answer) {
        this->state.metrics.count_store_call("no-answer");
        this->note_failure(reason.text);
        co_return std::nullopt;
    }
    this->state.metrics.count_store_call(std::to_string(answer->status));
    if (answer->status == status_ok) {
        this->note_answer();
        co_return answer;
    }
    if (Adapter::says_gone(answer->status)) {
        Log::EventLine("store_history_gone").with("topic", to_string(this->topic)).with("offset", *this->next).info();
        this->next.reset();
        co_return std::nullopt;
    }
    this->note_failure("status " + std::to_string(answer->status));
    co_return std::nullopt;
}

void StoreFollower::take(std::vector<Adapter::KeyedRecord> const& records, Instant asked_at, bool is_whole_list)
{
    if (this->topic == Adapter::Topic::Endpoints) {
        this->take_endpoints(records, is_whole_list);
        return;
    }
    // NOTE: Only the last version matters to a box that catches up; an earlier one does if the last can't be read.
    bool is_taken = false;
    for (auto record = records.rbegin(); record != records.rend() && !is_taken; ++record) {
        if (Adapter::is_configuration(*record) && record->value)
            is_taken = this->take_configuration(*record->value, asked_at);
    }
    if (is_whole_list && this->state.router.configuration())
        this->state.router.confirm_configuration(asked_at);
}

bool StoreFollower::take_configuration(std::string const& text, Instant asked_at)
{
    Core::LastReason reason;
    auto decoded = Adapter::decode_configuration(text, reason);
    if (!decoded) {
        this->state.metrics.count_bad_record("configuration");
        Log::EventLine("configuration_rejected").with("reason", reason.text).with("bytes", text.size()).error();
        return false;
    }
    auto const version = decoded->version;
    auto const routes = decoded->routes.size();
    auto const accounts = decoded->accounts ? decoded->accounts->size() : 0;
    auto const ranked = !decoded->accounts
        ? 0
        : std::ranges::count_if(*decoded->accounts, [](auto const& account) { return account.priority.has_value(); });
    auto snapshot = std::make_shared<Routing::ConfigurationSnapshot const>(std::move(*decoded));
    bool const is_newer = this->state.router.offer_configuration(std::move(snapshot), asked_at);
    Log::EventLine(is_newer ? "configuration_in_force" : "configuration_not_newer")
        .with("version", version)
        .with("routes", routes)
        .with("accounts", accounts)
        .with("accounts_with_priority", ranked)
        .info();
    return true;
}

void StoreFollower::take_endpoints(std::vector<Adapter::KeyedRecord> const& records, bool is_whole_list)
{
    auto const now = monotonic_now();
    std::vector<Routing::EndpointRecord> listed;
    for (auto const& record : records) {
        if (!record.value) {
            this->state.router.remove_endpoint(record.key, now);
            Log::EventLine("endpoint_unlisted").with("endpoint", record.key).info();
            continue;
        }
        auto decoded = this->decode_endpoint(record);
        if (!decoded)
            continue;
        if (is_whole_list)
            listed.push_back(std::move(*decoded));
        else if (this->state.router.put_endpoint(*decoded))
            Log::EventLine("endpoint_changed")
                .with("endpoint", decoded->incarnation)
                .with("service", decoded->service)
                .with("state", decoded->draining ? "draining" : "ready")
                .with("address", decoded->address.host + ":" + std::to_string(decoded->address.port))
                .info();
    }
    if (is_whole_list) {
        this->state.router.replace_endpoints(listed, now);
        Log::EventLine("endpoints_listed").with("count", listed.size()).info();
    }
    this->state.metrics.set_endpoints(this->state.router.endpoint_count());
}

std::optional<Routing::EndpointRecord> StoreFollower::decode_endpoint(Adapter::KeyedRecord const& record)
{
    Core::LastReason reason;
    auto decoded = Adapter::decode_endpoint(record.key, *record.value, reason);
    if (!decoded) {
        this->state.metrics.count_bad_record("endpoint");
        Log::EventLine("endpoint_rejected").with("endpoint", record.key).with("reason", reason.text).warning();
    }
    return decoded;
}

void StoreFollower::note_failure(std::string const& reason)
{
    if (this->link.failed(monotonic_now()))
        Log::EventLine("store_lost").with("topic", to_string(this->topic)).with("reason", reason).warning();
}

void StoreFollower::note_answer()
{
    auto const now = monotonic_now();
    auto const away = this->link.away_for(now);
    if (!this->link.answered(now))
        return;
    if (this->topic == Adapter::Topic::Endpoints)
        this->state.router.store_returned(now);
    Log::EventLine("store_regained")
        .with("topic", to_string(this->topic))
        .with("away_ms", Core::to_milliseconds(away))
        .warning();
}

}
