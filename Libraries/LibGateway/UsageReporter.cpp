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

std::uint64_t sum_of(Leader::AccountCounts const& counts)
{
    std::uint64_t sum = 0;
    for (auto const& [account, requests] : counts)
        sum += requests;
    return sum;
}

}

UsageReporter::UsageReporter(GatewayState& state, Leadership& leadership, Membership::BoxDirectory const& boxes,
    std::uint64_t process, Adapter::LeaderSettings settings, Leadership::SendToBox send)
    : state(state)
    , leadership(leadership)
    , boxes(boxes)
    , process(process)
    , settings(std::move(settings))
    , send_to_box(std::move(send))
    , connection(state.context, this->settings.address)
{
    this->state.usage_window = this->settings.usage_window;
}

void UsageReporter::set_settings(Adapter::LeaderSettings changed)
{
    this->settings = std::move(changed);
    this->connection.set_address(this->settings.address);
}

Core::Duration UsageReporter::tell_interval() const
{
    auto const interval = Core::from_seconds(static_cast<double>(this->boxes.size()) / boxes_told_a_second);
    return std::clamp(interval, shortest_tell_interval, longest_tell_interval);
}

Core::Duration UsageReporter::settling_time() const
{
    // NOTE: A little more than two tellings, since one datagram may be lost.
    return 2 * this->tell_interval() + tick;
}

Task<void> UsageReporter::tell()
{
    for (;;) {
        co_await sleep_for(this->tell_interval());
        this->tell_now();
    }
}

void UsageReporter::tell_now()
{
    auto const leader = this->leadership.leader(monotonic_now());
    if (this->leadership.leads() || !leader)
        return;
    Leader::UsageMessage message { this->process, {}, wall_clock_microseconds() };
    auto const& windows = this->state.usage.windows();
    message.windows.insert(windows.lower_bound(leader->next_window), windows.end());
    this->send_to_box(leader->address, Leader::encode(message));
}

void UsageReporter::hear(Leader::UsageMessage const& message)
{
    this->ledger.take(message.process, message.windows);
    this->state.clock.hear(message.process, message.wall_unix_microseconds, monotonic_now());
}

Task<void> UsageReporter::report()
{
    for (;;) {
        co_await sleep_for(tick);
        if (!co_await this->leadership.may_act())
            continue;
        auto const now = monotonic_now();
        if (this->term != this->leadership.identity().fencing_token)
            this->begin_term(now);
        this->state.clock.agree(wall_clock_microseconds(), now);
        this->skip_missed(now);
        co_await this->write_next(now);
        co_await this->send_written(monotonic_now());
    }
}

void UsageReporter::begin_term(Instant now)
{
    this->term = this->leadership.identity().fencing_token;
    this->next_window = this->leadership.first_window();
    this->platform_lost_since.reset();
    this->ledger.forget_before(this->next_window);
    // NOTE: What an earlier leader wrote down may not have been sent; sent twice it counts once.
    std::erase_if(this->taken, [this, now](auto const window) { return this->is_over(window, now); });
}

bool UsageReporter::is_over(std::uint64_t window, Instant now) const
{
    auto const due = Leader::end_of_window(window, this->settings.usage_window)
        + static_cast<std::uint64_t>((this->settings.usage_due + longest_delay).count());
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
    if (this->state.clock.unix_microseconds(now) < settled_at
        || now - this->leadership.leads_since() < this->settling_time())
        co_return;
    this->ledger.take(this->process, this->state.usage.windows());
    auto const window = this->next_window;
    auto const counts = this->ledger.total(window);
    if (!co_await this->leadership.write_report(window, counts))
        co_return;
    Log::EventLine("usage_written")
        .with("window", window)
        .with("accounts", counts.size())
        .with("requests", sum_of(counts))
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
    // NOTE: A copy, since the log may be read anew while a report is under way.
    auto const reports = this->leadership.log().reports();
    for (auto const& [window, counts] : reports) {
        if (this->taken.contains(window) || this->is_over(window, now))
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
    bool const is_taken = answer && answer->status == status_ok;
    auto const outcome = answer ? "status " + std::to_string(answer->status) : reason.text;
    Log::EventLine("usage_reported")
        .with("window", window)
        .with("token", this->term)
        .with("requests", sum_of(counts))
        .with("outcome", is_taken ? "taken" : outcome)
        .info();
    this->state.metrics.count_usage_report(is_taken ? "taken" : answer ? "refused" : "no-answer");
    bool const is_superseded = answer && Adapter::is_conflict(answer->status);
    this->note_platform(is_taken || is_superseded, monotonic_now());
    if (is_superseded)
        co_await this->leadership.was_superseded();
    if (is_taken)
        this->taken.insert(window);
    co_return is_taken;
}

void UsageReporter::note_platform(bool is_answered, Instant now)
{
    if (is_answered) {
        this->platform_lost_since.reset();
        return;
    }
    if (!this->platform_lost_since)
        this->platform_lost_since = now;
    if (now - *this->platform_lost_since >= longest_platform_loss && this->boxes.size() > 1)
        this->leadership.step_down("the platform takes no calls of this box");
}

}
