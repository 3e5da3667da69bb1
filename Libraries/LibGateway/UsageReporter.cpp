#include <LibGateway/UsageReporter.h>

#include <LibGateway/HttpStatus.h>
#include <LibLog/EventLog.h>
#include <platform/LeaderCalls.h>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;

namespace {

std::uint64_t wall_clock_microseconds()
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return static_cast<std::uint64_t>(Core::wall_clock_milliseconds() * microseconds_per_millisecond);
}

std::uint64_t total_of(Leader::AccountCounts const& counts)
{
    std::uint64_t sum = 0;
    for (auto const& [account, requests] : counts)
        sum += requests;
    return sum;
}

}

UsageReporter::UsageReporter(GatewayState& state, Leadership& leadership, Membership::BoxDirectory const& boxes,
    BoxList box_list, std::uint64_t process, Adapter::LeaderSettings settings, Leadership::SendToBox send)
    : state(state)
    , leadership(leadership)
    , boxes(boxes)
    , box_list(std::move(box_list))
    , process(process)
    , settings(std::move(settings))
    , send_to_box(std::move(send))
    , connection(state.context, this->settings.address)
{
    this->state.usage_schedule = { this->settings.usage_window, this->settings.usage_due };
}

void UsageReporter::set_settings(Adapter::LeaderSettings changed)
{
    this->settings = std::move(changed);
    this->connection.set_address(this->settings.address);
}

Core::Duration UsageReporter::send_interval() const
{
    auto const interval = Core::from_seconds(static_cast<double>(this->boxes.size()) / max_messages_per_second);
    return std::clamp(interval, min_send_interval, max_send_interval);
}

Core::Duration UsageReporter::settling_time() const
{
    // NOTE: A little more than two send intervals, since one datagram may be lost.
    return 2 * this->send_interval() + check_interval;
}

Task<void> UsageReporter::send_counts()
{
    for (;;) {
        co_await sleep_for(this->send_interval());
        this->send_counts_now();
    }
}

void UsageReporter::send_counts_now()
{
    auto const leader = this->leadership.leader(monotonic_now());
    if (this->leadership.is_leader() || !leader)
        return;
    Leader::UsageMessage message { this->process, {}, wall_clock_microseconds() };
    auto const& windows = this->state.usage.windows();
    message.windows.insert(windows.lower_bound(leader->next_window), windows.end());
    this->send_to_box(leader->address, Leader::encode(message));
}

void UsageReporter::receive(Leader::UsageMessage const& message)
{
    this->ledger.merge(message.process, message.windows);
    this->state.clock.add_sample(message.process, message.wall_unix_microseconds, monotonic_now());
}

Task<void> UsageReporter::report()
{
    for (;;) {
        co_await sleep_for(check_interval);
        if (!co_await this->leadership.may_act())
            continue;
        auto const now = monotonic_now();
        if (this->term != this->leadership.identity().fencing_token)
            this->begin_term(now);
        this->state.clock.update_from_samples(wall_clock_microseconds(), now);
        this->skip_missed(now);
        co_await this->write_next(now);
        co_await this->send_written(monotonic_now());
    }
}

void UsageReporter::begin_term(Instant now)
{
    this->term = this->leadership.identity().fencing_token;
    this->next_window = this->leadership.first_window();
    this->platform_unreachable_since.reset();
    this->ledger.forget_before(this->next_window);
    this->collection.begin_term(this->leadership.leader_since());
    this->box_list.read_again();
    // NOTE: An earlier leader's reports may not have been sent. The platform counts a repeated report once.
    std::erase_if(this->accepted_windows, [this, now](auto const window) { return this->is_over(window, now); });
}

bool UsageReporter::is_over(std::uint64_t window, Instant now) const
{
    auto const due = Leader::end_of_window(window, this->settings.usage_window)
        + static_cast<std::uint64_t>((this->settings.usage_due + max_report_delay).count());
    return this->state.clock.unix_microseconds(now) > due;
}

void UsageReporter::skip_missed(Instant now)
{
    for (; this->is_over(this->next_window, now); ++this->next_window) {
        Log::EventLine("usage_missed").with("window", this->next_window).warning();
        this->state.metrics.count_usage_report("missed");
    }
}

Task<void> UsageReporter::write_next(Instant now)
{
    auto const ended_at = Leader::end_of_window(this->next_window, this->settings.usage_window);
    auto const settled_at = ended_at + static_cast<std::uint64_t>(this->settling_time().count());
    this->collection.boxes_listed(this->box_list.read_at(), now);
    if (this->state.clock.unix_microseconds(now) < settled_at
        || !this->collection.is_complete(now, this->settling_time()))
        co_return;
    this->ledger.merge(this->process, this->state.usage.windows());
    auto const window = this->next_window;
    auto const counts = this->ledger.total(window);
    if (!co_await this->leadership.write_report(window, counts))
        co_return;
    Log::EventLine("usage_written")
        .with("window", window)
        .with("accounts", counts.size())
        .with("requests", total_of(counts))
        .with("processes", this->ledger.processes(window))
        .with("ended_ms_ago",
            Core::to_milliseconds(Core::Duration {
                static_cast<Core::Duration::rep>(this->state.clock.unix_microseconds(now) - ended_at) }))
        .with("clocks", this->state.clock.clocks())
        .info();
    this->next_window = window + 1;
    this->leadership.set_next_window(this->next_window);
    this->ledger.forget_before(this->next_window);
}

Task<void> UsageReporter::send_written(Instant now)
{
    // NOTE: A copy, since the log may be read anew during a call.
    auto const reports = this->leadership.log().reports();
    for (auto const& [window, counts] : reports) {
        if (this->accepted_windows.contains(window) || this->is_over(window, now))
            continue;
        if (!co_await this->leadership.may_act() || !co_await this->send(window, counts))
            co_return;
    }
}

Task<bool> UsageReporter::send(std::uint64_t window, Leader::AccountCounts const& counts)
{
    auto const call = Adapter::encode_usage_report(this->leadership.identity(), window, counts);
    Core::LastReason reason;
    auto const answer = co_await this->connection.post(call.target, call.body, timeouts, reason, call.headers);
    bool const is_accepted = answer && answer->status == status_ok;
    auto const outcome = answer ? "status " + std::to_string(answer->status) : reason.text;
    Log::EventLine("usage_reported")
        .with("window", window)
        .with("token", this->term)
        .with("requests", total_of(counts))
        .with("outcome", is_accepted ? "taken" : outcome)
        .info();
    this->state.metrics.count_usage_report(is_accepted ? "taken" : answer ? "refused" : "no-answer");
    bool const is_superseded = answer && Adapter::is_conflict(answer->status);
    this->note_platform_call(is_accepted || is_superseded, monotonic_now());
    if (is_superseded)
        co_await this->leadership.was_superseded();
    if (is_accepted)
        this->accepted_windows.insert(window);
    co_return is_accepted;
}

void UsageReporter::note_platform_call(bool is_answered, Instant now)
{
    if (is_answered) {
        this->platform_unreachable_since.reset();
        return;
    }
    if (!this->platform_unreachable_since)
        this->platform_unreachable_since = now;
    if (now - *this->platform_unreachable_since >= max_platform_outage && this->boxes.size() > 1)
        this->leadership.step_down("the platform is unreachable or refuses this box's calls");
}

}
