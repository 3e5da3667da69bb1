#include <LibGateway/CrashNews.h>

#include <LibLog/EventLog.h>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;
using Membership::CrashMessage;
using Membership::most_news_in_message;
using Routing::CrashLedger;

namespace {

void log_crash(std::string_view event, Routing::CrashReport const& report, Routing::CrashVerdict const& verdict)
{
    Log::EventLine line(event);
    line.with("fingerprint", Routing::to_string(report.request))
        .with("endpoint", report.endpoint.incarnation)
        .with("endpoint_started_at_ms", report.endpoint.started_at)
        .with("known_when_run_began", report.count - 1)
        .with("crashes", verdict.crashes);
    if (verdict.refused_for)
        line.with("refused_for_s", Core::to_seconds(*verdict.refused_for));
    line.warning();
}

}

void CrashNews::set_ways(Tell to_boxes, Keep to_store)
{
    this->to_boxes = std::move(to_boxes);
    this->to_store = std::move(to_store);
}

Routing::CrashVerdict CrashNews::verdict(Routing::RequestFingerprint request) const
{
    auto verdict = this->ledger.verdict(request, monotonic_now());
    verdict.is_probed |= this->own_probes.contains(request);
    return verdict;
}

void CrashNews::probe_began(Routing::RequestFingerprint request)
{
    this->own_probes.insert(request);
    this->announce(Probing { request });
}

void CrashNews::probe_ended(Routing::RequestFingerprint request)
{
    this->own_probes.erase(request);
    std::erase_if(this->pending, [request](auto const& waiting) {
        auto const* const probing = std::get_if<Probing>(&waiting.news);
        return probing != nullptr && probing->request == request;
    });
    this->announce(ProbeOver { request });
}

std::size_t CrashNews::refused_count() const
{
    return this->ledger.refused(monotonic_now()).size();
}

void CrashNews::crashed(Routing::CrashReport const& report)
{
    auto const now = monotonic_now();
    if (this->ledger.take(report, Core::Duration { 0 }, now) != CrashLedger::Taken::New)
        return;
    this->metrics.count_crash_report("noted");
    auto const verdict = this->ledger.verdict(report.request, now);
    log_crash("crash_noted", report, verdict);
    this->announce(Crashed { report, now });
    // NOTE: Only the box that saw the last crash writes it: one call to the store for a refused request.
    if (verdict.refused_for && this->to_store)
        this->to_store(Membership::crash_key(report.request),
            Membership::encode_record({ { report.request, report.endpoint, verdict.crashes }, Core::Duration { 0 } },
                Core::wall_clock_milliseconds()));
}

void CrashNews::ran_well(Routing::RequestFingerprint request)
{
    auto const verdict = this->ledger.verdict(request, monotonic_now());
    if (!this->ledger.clear(request, monotonic_now()))
        return;
    this->clear(request, "own", verdict.crashes);
    if (verdict.refused_for && this->to_store)
        this->to_store(Membership::crash_key(request), std::nullopt);
    this->announce(Cleared { request });
}

void CrashNews::clear(Routing::RequestFingerprint request, std::string_view from, unsigned crashes)
{
    std::erase_if(this->pending, [request](auto const& waiting) {
        auto const* const crash = std::get_if<Crashed>(&waiting.news);
        return crash != nullptr && crash->report.request == request;
    });
    this->metrics.count_crash_report("cleared");
    if (from == "own" || crashes > 1)
        Log::EventLine("crash_cleared")
            .with("fingerprint", Routing::to_string(request))
            .with("told_by", from)
            .with("crashes", crashes)
            .info();
}

void CrashNews::answered(Routing::EndpointLife const& endpoint, Routing::AnswerEvidence const& evidence)
{
    if (!this->ledger.endpoint_answered(endpoint, evidence))
        return;
    auto const now = monotonic_now();
    Log::EventLine("crashed_endpoint_answered")
        .with("endpoint", endpoint.incarnation)
        .with("connection_opened_ms_ago", Core::to_milliseconds(now - evidence.connected_at))
        .with("sent_ms_ago", Core::to_milliseconds(now - evidence.sent_at))
        .info();
    this->take_back(endpoint, "own");
    this->announce(Answering { endpoint });
}

void CrashNews::take_back(Routing::EndpointLife const& endpoint, std::string_view from)
{
    std::erase_if(this->pending, [&endpoint](auto const& waiting) {
        auto const* const crash = std::get_if<Crashed>(&waiting.news);
        return crash != nullptr && crash->report.endpoint == endpoint;
    });
    this->metrics.count_crash_report("taken-back");
    Log::EventLine("crash_taken_back").with("endpoint", endpoint.incarnation).with("told_by", from).info();
}

void CrashNews::hear(CrashMessage const& message)
{
    auto const now = monotonic_now();
    for (auto const& [report, age] : message.crashes) {
        auto const taken = this->ledger.take(report, age, now);
        if (taken == CrashLedger::Taken::Cleared)
            this->announce(Cleared { report.request });
        if (taken != CrashLedger::Taken::New)
            continue;
        this->metrics.count_crash_report("heard");
        // NOTE: First crashes are nearly all of bystanders; the box that saw one has logged it.
        if (auto const verdict = this->ledger.verdict(report.request, now); verdict.crashes > 1)
            log_crash("crash_heard", report, verdict);
        this->pause.interrupt();
    }
    for (auto const& request : message.cleared) {
        auto const crashes = this->ledger.verdict(request, now).crashes;
        if (this->ledger.clear(request, now))
            this->clear(request, "box", crashes);
    }
    for (auto const& endpoint : message.answering) {
        if (this->ledger.take_back(endpoint))
            this->take_back(endpoint, "box");
    }
    for (auto const& request : message.probed)
        this->ledger.probe_goes_on(request, now);
    for (auto const& request : message.probes_ended)
        this->ledger.probe_ended(request);
}

void CrashNews::take_stored(std::string const& key, std::string const& value)
{
    auto const crash = Membership::decode_record(value, Core::wall_clock_milliseconds());
    if (!crash || Membership::crash_key(crash->report.request) != key) {
        this->metrics.count_bad_record("crash");
        Log::EventLine("crash_record_rejected").with("key", key).with("bytes", value.size()).warning();
        return;
    }
    if (crash->age >= CrashLedger::memory && this->to_store) {
        this->to_store(key, std::nullopt);
        return;
    }
    auto const now = monotonic_now();
    if (this->ledger.take(crash->report, crash->age, now) != CrashLedger::Taken::New)
        return;
    this->metrics.count_crash_report("read");
    log_crash("crash_read", crash->report, this->ledger.verdict(crash->report.request, now));
    this->pause.interrupt();
}

void CrashNews::announce(News news)
{
    if (!this->to_boxes)
        return;
    // NOTE: Until the others know of a probe they may begin one of their own.
    bool const is_urgent = std::holds_alternative<Probing>(news);
    this->pending.push_back({ std::move(news), 0, monotonic_now() + (is_urgent ? Core::Duration { 0 } : gathering) });
    this->pause.interrupt();
}

std::optional<Core::Duration> CrashNews::time_until_told_again(Pending& waiting)
{
    if (std::holds_alternative<Probing>(waiting.news))
        return probe_interval;
    if (std::holds_alternative<ProbeOver>(waiting.news) || waiting.times_told == told_again.size())
        return {};
    return told_again.at(waiting.times_told++);
}

Task<void> CrashNews::run()
{
    for (;;) {
        auto const now = monotonic_now();
        this->tell_due(now);
        if (now - this->refused_told_at >= refused_interval)
            this->tell_refused(now);
        this->ledger.expire(now);
        co_await this->pause.wait(this->time_to_next(now));
    }
}

Core::Duration CrashNews::time_to_next(Instant now) const
{
    auto next = now + (this->ledger.refused(now).empty() ? idle_interval : refused_interval);
    for (auto const& waiting : this->pending)
        next = std::min(next, waiting.due);
    return std::max(next - now, Core::Duration { 0 });
}

void CrashNews::tell_due(Instant now)
{
    /// Adds a piece of news to a message.
    struct AddTo {
        CrashMessage& message;
        Instant now;

        void operator()(Crashed const& crash) const
        {
            this->message.crashes.push_back({ crash.report, this->now - crash.at });
        }
        void operator()(Cleared const& cleared) const { this->message.cleared.push_back(cleared.request); }
        void operator()(Answering const& answering) const { this->message.answering.push_back(answering.endpoint); }
        void operator()(Probing const& probing) const { this->message.probed.push_back(probing.request); }
        void operator()(ProbeOver const& over) const { this->message.probes_ended.push_back(over.request); }
    };
    CrashMessage message;
    std::size_t count = 0;
    for (auto position = this->pending.begin(); position != this->pending.end();) {
        auto const current = position++;
        if (current->due > now || count >= most_news_in_message)
            continue;
        ++count;
        std::visit(AddTo { message, now }, current->news);
        if (auto const pause = time_until_told_again(*current))
            current->due = now + *pause;
        else
            this->pending.erase(current);
    }
    if (!message.is_empty())
        this->to_boxes(Membership::encode(message), Audience::AllBoxes);
}

void CrashNews::tell_refused(Instant now)
{
    this->refused_told_at = now;
    auto const refused = this->ledger.refused(now);
    if (refused.empty() || !this->to_boxes)
        return;
    CrashMessage message;
    for (std::size_t index = 0; index < std::min(refused.size(), most_news_in_message); ++index) {
        auto const& report = refused[this->next_refused++ % refused.size()];
        auto const left = this->ledger.verdict(report.request, now).refused_for.value_or(Core::Duration { 0 });
        message.crashes.push_back({ report, CrashLedger::quarantine - left });
    }
    this->to_boxes(Membership::encode(message), Audience::SomeBoxes);
}

}
