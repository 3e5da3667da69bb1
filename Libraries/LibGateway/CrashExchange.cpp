#include <LibGateway/CrashExchange.h>

#include <LibLog/EventLog.h>

#include <algorithm>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;
using Membership::CrashMessage;
using Membership::max_crash_entries_per_message;
using Routing::CrashLedger;
using Routing::CrashSuspect;

namespace {

/// Whether a crash seen by this box is logged. First crashes of prompt parts are not: nearly all are harmless, and the
/// log line of the broken connection names them.
bool is_logged(CrashSuspect suspect, unsigned crashes)
{
    return suspect.kind == CrashSuspect::Kind::Request || crashes > 1;
}

void log_crash(std::string_view event, Routing::CrashReport const& report, Routing::CrashStatus const& status)
{
    Log::EventLine line(event);
    line.with("fingerprint", Routing::to_string(report.suspect))
        .with("endpoint", report.endpoint.incarnation)
        .with("endpoint_started_at_ms", report.endpoint.started_at)
        .with("known_when_run_began", report.count - 1)
        .with("crashes", status.crashes);
    if (status.refused_for)
        line.with("refused_for_s", Core::to_seconds(*status.refused_for));
    line.warning();
}

}

void CrashExchange::set_transport(SendToBoxes to_boxes, WriteToStore to_store)
{
    this->to_boxes = std::move(to_boxes);
    this->to_store = std::move(to_store);
}

Routing::CrashStatus CrashExchange::status(Routing::CrashSuspect suspect) const
{
    auto status = this->ledger.status(suspect, monotonic_now());
    status.is_probed |= this->own_probes.contains(suspect);
    return status;
}

Routing::RequestCrashes CrashExchange::request_crashes(Routing::CrashSuspects const& suspects) const
{
    auto status = this->ledger.request_crashes(suspects, monotonic_now());
    status.is_probed |= std::ranges::any_of(
        status.to_probe, [this](auto const& suspect) { return this->own_probes.contains(suspect); });
    return status;
}

void CrashExchange::probe_began(Routing::CrashSuspect suspect)
{
    this->own_probes.insert(suspect);
    this->enqueue(Probing { suspect });
}

void CrashExchange::probe_ended(Routing::CrashSuspect suspect)
{
    this->own_probes.erase(suspect);
    std::erase_if(this->pending, [suspect](auto const& entry) {
        auto const* const probing = std::get_if<Probing>(&entry.update);
        return probing != nullptr && probing->suspect == suspect;
    });
    this->enqueue(ProbeEnded { suspect });
}

std::size_t CrashExchange::refused_count() const
{
    return this->ledger.refused(monotonic_now()).size();
}

void CrashExchange::report_crash(Routing::CrashReport const& report)
{
    auto const now = monotonic_now();
    auto const outcome = this->ledger.apply(report, Core::Duration { 0 }, now);
    if (outcome == CrashLedger::Outcome::FurtherRun)
        this->enqueue(Crashed { report, now });
    if (outcome != CrashLedger::Outcome::New)
        return;
    this->metrics.count_crash_report("noted");
    auto const status = this->ledger.status(report.suspect, now);
    if (is_logged(report.suspect, status.crashes))
        log_crash("crash_noted", report, status);
    this->enqueue(Crashed { report, now });
    // NOTE: Only the box that saw the last crash writes the record, so each refused suspect costs one call to the
    // store.
    if (status.crashes >= CrashLedger::max_crashes(report.suspect.kind))
        this->store_record(report.suspect, now);
}

void CrashExchange::store_record(Routing::CrashSuspect suspect, Instant now)
{
    auto const refused = this->ledger.refused(now);
    auto const found = std::ranges::find(refused, suspect, &Routing::CrashReport::suspect);
    if (found == refused.end() || !this->to_store)
        return;
    this->to_store(Membership::crash_key(suspect),
        Membership::encode_crash_record({ *found, Core::Duration { 0 } }, Core::wall_clock_milliseconds()));
}

void CrashExchange::report_success(Routing::CrashSuspect request)
{
    this->report_cleared(request);
}

std::vector<Routing::CrashSuspect> CrashExchange::report_harmless_parts(
    Routing::CrashSuspects const& suspects, Instant answer_began)
{
    std::vector<Routing::CrashSuspect> cleared;
    for (auto const& part : suspects.prompt_parts) {
        if (!this->ledger.is_disproved(part, suspects.request.account, answer_began))
            continue;
        this->report_cleared(part);
        cleared.push_back(part);
    }
    return cleared;
}

void CrashExchange::report_cleared(Routing::CrashSuspect suspect)
{
    auto const status = this->ledger.status(suspect, monotonic_now());
    if (!this->ledger.clear(suspect, monotonic_now()))
        return;
    this->note_cleared(suspect, "own", status.crashes);
    if (status.crashes >= CrashLedger::max_crashes(suspect.kind) && this->to_store)
        this->to_store(Membership::crash_key(suspect), std::nullopt);
    this->enqueue(Cleared { suspect });
}

void CrashExchange::note_cleared(Routing::CrashSuspect suspect, std::string_view from, unsigned crashes)
{
    std::erase_if(this->pending, [suspect](auto const& entry) {
        auto const* const crash = std::get_if<Crashed>(&entry.update);
        return crash != nullptr && crash->report.suspect == suspect;
    });
    this->metrics.count_crash_report("cleared");
    bool const is_own_request = from == "own" && suspect.kind == CrashSuspect::Kind::Request;
    if (is_own_request || crashes > 1)
        Log::EventLine("crash_cleared")
            .with("fingerprint", Routing::to_string(suspect))
            .with("told_by", from)
            .with("crashes", crashes)
            .info();
}

void CrashExchange::endpoint_answered(Routing::EndpointInstance const& endpoint, Routing::AnswerTiming const& evidence)
{
    if (!this->ledger.endpoint_answered(endpoint, evidence))
        return;
    auto const now = monotonic_now();
    Log::EventLine("crashed_endpoint_answered")
        .with("endpoint", endpoint.incarnation)
        .with("connection_opened_ms_ago", Core::to_milliseconds(now - evidence.connected_at))
        .with("sent_ms_ago", Core::to_milliseconds(now - evidence.sent_at))
        .info();
    this->note_retracted(endpoint, "own");
    this->enqueue(Answering { endpoint });
}

void CrashExchange::note_retracted(Routing::EndpointInstance const& endpoint, std::string_view from)
{
    std::erase_if(this->pending, [&endpoint](auto const& entry) {
        auto const* const crash = std::get_if<Crashed>(&entry.update);
        return crash != nullptr && crash->report.endpoint == endpoint;
    });
    this->metrics.count_crash_report("taken-back");
    Log::EventLine("crash_taken_back").with("endpoint", endpoint.incarnation).with("told_by", from).info();
}

void CrashExchange::receive(CrashMessage const& message)
{
    auto const now = monotonic_now();
    for (auto const& [report, age] : message.crashes) {
        auto const taken = this->ledger.apply(report, age, now);
        if (taken == CrashLedger::Outcome::Cleared)
            this->enqueue(Cleared { report.suspect });
        if (taken != CrashLedger::Outcome::New)
            continue;
        this->metrics.count_crash_report("heard");
        // NOTE: First crashes aren't logged: nearly all are of requests that only ran beside the harmful one, and the
        // box that saw the crash has logged it.
        if (auto const status = this->ledger.status(report.suspect, now); status.crashes > 1)
            log_crash("crash_heard", report, status);
        this->pause.interrupt();
    }
    for (auto const& suspect : message.cleared) {
        auto const crashes = this->ledger.status(suspect, now).crashes;
        if (this->ledger.clear(suspect, now))
            this->note_cleared(suspect, "box", crashes);
    }
    for (auto const& endpoint : message.answering) {
        if (this->ledger.retract(endpoint))
            this->note_retracted(endpoint, "box");
    }
    for (auto const& suspect : message.probed)
        this->ledger.renew_probe(suspect, now);
    for (auto const& suspect : message.probes_ended)
        this->ledger.end_probe(suspect);
}

void CrashExchange::apply_stored(std::string const& key, std::string const& value)
{
    auto const crash = Membership::decode_crash_record(value, Core::wall_clock_milliseconds());
    if (!crash || Membership::crash_key(crash->report.suspect) != key) {
        this->metrics.count_bad_record("crash");
        Log::EventLine("crash_record_rejected").with("key", key).with("bytes", value.size()).warning();
        return;
    }
    if (crash->age >= CrashLedger::retention && this->to_store) {
        this->to_store(key, std::nullopt);
        return;
    }
    auto const now = monotonic_now();
    if (this->ledger.apply(crash->report, crash->age, now) != CrashLedger::Outcome::New)
        return;
    this->metrics.count_crash_report("read");
    log_crash("crash_read", crash->report, this->ledger.status(crash->report.suspect, now));
    this->pause.interrupt();
}

void CrashExchange::enqueue(Update update)
{
    if (!this->to_boxes)
        return;
    // NOTE: Other boxes may begin a probe of the same request until they have received this update.
    bool const is_urgent = std::holds_alternative<Probing>(update);
    this->pending.push_back(
        { std::move(update), 0, monotonic_now() + (is_urgent ? Core::Duration { 0 } : batching_delay) });
    this->pause.interrupt();
}

std::optional<Core::Duration> CrashExchange::next_resend_delay(Pending& entry)
{
    if (std::holds_alternative<Probing>(entry.update))
        return probe_interval;
    if (std::holds_alternative<ProbeEnded>(entry.update) || entry.times_sent == resend_delays.size())
        return {};
    return resend_delays.at(entry.times_sent++);
}

Task<void> CrashExchange::run()
{
    for (;;) {
        auto const now = monotonic_now();
        this->send_due(now);
        if (now - this->refused_sent_at >= refused_interval)
            this->send_refused(now);
        this->ledger.expire(now);
        co_await this->pause.wait(this->time_until_next_send(now));
    }
}

Core::Duration CrashExchange::time_until_next_send(Instant now) const
{
    auto next = now + (this->ledger.refused(now).empty() ? idle_interval : refused_interval);
    for (auto const& entry : this->pending)
        next = std::min(next, entry.due);
    return std::max(next - now, Core::Duration { 0 });
}

void CrashExchange::send_due(Instant now)
{
    /// Adds an update to a message.
    struct AddTo {
        CrashMessage& message;
        Instant now;

        void operator()(Crashed const& crash) const
        {
            this->message.crashes.push_back({ crash.report, this->now - crash.at });
        }
        void operator()(Cleared const& cleared) const { this->message.cleared.push_back(cleared.suspect); }
        void operator()(Answering const& answering) const { this->message.answering.push_back(answering.endpoint); }
        void operator()(Probing const& probing) const { this->message.probed.push_back(probing.suspect); }
        void operator()(ProbeEnded const& ended) const { this->message.probes_ended.push_back(ended.suspect); }
    };
    CrashMessage message;
    std::size_t count = 0;
    for (auto position = this->pending.begin(); position != this->pending.end();) {
        auto const current = position++;
        if (current->due > now || count >= max_crash_entries_per_message)
            continue;
        ++count;
        std::visit(AddTo { message, now }, current->update);
        if (auto const pause = next_resend_delay(*current))
            current->due = now + *pause;
        else
            this->pending.erase(current);
    }
    if (!message.is_empty())
        this->to_boxes(Membership::encode(message), Audience::AllBoxes);
}

void CrashExchange::send_refused(Instant now)
{
    this->refused_sent_at = now;
    auto const refused = this->ledger.refused(now);
    if (refused.empty() || !this->to_boxes)
        return;
    CrashMessage message;
    for (std::size_t index = 0; index < std::min(refused.size(), max_crash_entries_per_message); ++index) {
        auto const& report = refused[this->next_refused++ % refused.size()];
        message.crashes.push_back({ report, this->ledger.crash_age(report.suspect, now) });
    }
    this->to_boxes(Membership::encode(message), Audience::SomeBoxes);
}

}
