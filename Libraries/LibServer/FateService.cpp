#include <LibServer/FateService.h>

#include <LibCore/Verify.h>
#include <LibLog/EventLog.h>
#include <xxhash.h>

namespace Server {

using Core::Outcome;
using Core::Reason;
using Traffic::AttemptResult;

namespace {

constexpr Core::Duration longest_poll { std::chrono::seconds(1) };
constexpr Core::Duration append_timeout { std::chrono::seconds(2) };
constexpr Core::Duration longest_claim_wait { std::chrono::seconds(2) };
constexpr Core::Duration longest_holder_wait { std::chrono::seconds(3) };
/// If the log has not answered for this long, new claims are refused at once.
constexpr Core::Duration log_lost_after { std::chrono::milliseconds(1500) };
constexpr auto pause_after_failure = std::chrono::milliseconds(100);
constexpr std::uint64_t page_records = 1000;
constexpr Core::Duration retry_after_log { std::chrono::seconds(2) };

KeyedEnd end_with(Fate::Rejection const& answer)
{
    return { { AttemptResult::NotSent, 0, "", "", false, "" }, { answer.outcome, answer.reason, retry_after_log } };
}

KeyedEnd replay_of(Fate::Settled const& settled)
{
    return { { AttemptResult::Completed, settled.status, settled.content_type, settled.body, false, "" },
        { Outcome::Completed, Reason::AnswerReplayed, {} } };
}

/// The outcome of a verdict. A request whose key is still claimed may have run.
KeyedEnd end_of(Fate::Verdict const& verdict)
{
    if (auto const* answer = std::get_if<Fate::Rejection>(&verdict))
        return end_with(*answer);
    if (auto const* replay = std::get_if<Fate::Replay>(&verdict))
        return replay_of(replay->settled);
    return end_with({ Outcome::Unknown, Reason::ClaimHeldByOther });
}

}

FateService::FateService(FateServiceSettings const& service_settings, Fate::Incarnation own, Metrics& metrics)
    : settings(service_settings)
    , metrics(metrics)
    , log(service_settings.platform)
    , ledger(own, service_settings.limits)
    , last_log_answer(Core::monotonic_now())
    , follower([this] { this->follow(); })
    , appender([this] { this->append_batches(); })
{
}

FateService::~FateService()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->is_stopping = true;
    }
    this->changed.notify_all();
    this->follower.join();
    this->appender.join();
}

void FateService::set_boxes(int boxes)
{
    std::scoped_lock const lock(this->mutex);
    this->settings.boxes = boxes;
}

std::size_t FateService::known_keys()
{
    std::scoped_lock const lock(this->mutex);
    return this->ledger.size();
}

std::optional<Fate::KeyRequest> FateService::key_request(RequestFlow const& flow)
{
    auto const created = Fate::creation_time_of(flow.upstream.idempotency_key);
    if (!created)
        return {};
    auto const fingerprint = XXH3_64bits_withSeed(flow.upstream.body.data(), flow.upstream.body.size(),
        XXH3_64bits(flow.upstream.path.data(), flow.upstream.path.size()));
    return Fate::KeyRequest { Fate::Key::create(flow.account_name, flow.upstream.idempotency_key), *created,
        fingerprint };
}

std::optional<KeyedEnd> FateService::decide_before_queueing(RequestFlow const& flow)
{
    auto const request = key_request(flow);
    if (!request)
        return end_with({ Outcome::NotRun, Reason::KeyMalformed });
    std::optional<Fate::Verdict> verdict;
    {
        std::scoped_lock const lock(this->mutex);
        verdict = this->ledger.check(*request, Core::wall_clock_milliseconds());
    }
    if (!verdict && this->is_log_lost())
        return end_with({ Outcome::Undecided, Reason::LogUnreachable });
    if (!verdict)
        return {};
    if (std::holds_alternative<Fate::HeldByOther>(*verdict))
        return this->wait_for_holder(request->key);
    return end_of(*verdict);
}

AttemptReport FateService::run(RequestFlow& flow, Send const& send)
{
    auto const request = key_request(flow);
    VERIFY(request.has_value());
    std::unique_lock lock(this->mutex);
    auto const verdict = this->ledger.check_or_claim(*request, Core::wall_clock_milliseconds());
    lock.unlock();
    if (auto const* must_claim = std::get_if<Fate::MustClaim>(&verdict))
        return this->run_claimed(flow, must_claim->claim, send);
    if (std::holds_alternative<Fate::HeldByOther>(verdict))
        return this->end_as_holder(flow, request->key);
    auto const end = end_of(verdict);
    flow.set_fate_end(end.end);
    return end.report;
}

AttemptReport FateService::run_claimed(RequestFlow& flow, Fate::Claim const& claim, Send const& send)
{
    this->enqueue(claim);
    auto const state = this->wait_until_decided(claim);
    if (state == Fate::ClaimState::Lost)
        return this->end_as_holder(flow, claim.key);
    bool may_send = false;
    {
        std::scoped_lock const lock(this->mutex);
        may_send = this->ledger.try_send(claim);
        if (!may_send) {
            if (auto record = this->ledger.give_up(claim))
                this->to_append.push_back(std::move(*record));
        }
    }
    this->changed.notify_all();
    if (!may_send) {
        flow.set_fate_end({ Outcome::Undecided, Reason::ClaimNotReadBack, retry_after_log });
        return { AttemptResult::NotSent, 0, "", "", false, "" };
    }
    auto report = send();
    this->settle(flow, claim, report);
    return report;
}

Fate::ClaimState FateService::wait_until_decided(Fate::Claim const& claim)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, longest_claim_wait,
        [&] { return this->is_stopping || this->ledger.state_of(claim) != Fate::ClaimState::Waiting; });
    return this->ledger.state_of(claim);
}

AttemptReport FateService::end_as_holder(RequestFlow& flow, Fate::Key const& key)
{
    auto const end = this->wait_for_holder(key);
    flow.set_fate_end(end.end);
    return end.report;
}

KeyedEnd FateService::wait_for_holder(Fate::Key const& key)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, longest_holder_wait, [&] {
        return this->is_stopping || !std::holds_alternative<Fate::HeldByOther>(this->ledger.current_verdict(key));
    });
    return end_of(this->ledger.current_verdict(key));
}

void FateService::settle(RequestFlow& flow, Fate::Claim const& claim, AttemptReport const& report)
{
    Fate::Settled settled { claim.key, claim.claimant, Fate::Result::Unknown, 0, "", "", false };
    if (report.result == AttemptResult::Completed) {
        settled.result = Fate::Result::Completed;
        settled.status = report.status;
        settled.content_type = report.content_type;
        settled.body_kept = !flow.facts.streaming && report.body.size() <= this->settings.limits.max_kept_body_bytes;
        if (settled.body_kept)
            settled.body = report.body;
    } else if (report.result == AttemptResult::ConnectionRefused) {
        settled.result = Fate::Result::NotRun;
        flow.set_fate_end({ Outcome::NotRun, Reason::ConnectionRefused, retry_after_log });
    } else {
        flow.set_fate_end({ Outcome::Unknown, Reason::EndpointError, {} });
    }
    this->enqueue(std::move(settled));
}

void FateService::enqueue(Fate::Record record)
{
    {
        std::scoped_lock const lock(this->mutex);
        this->to_append.push_back(std::move(record));
    }
    this->changed.notify_all();
}

bool FateService::is_log_lost()
{
    std::scoped_lock const lock(this->mutex);
    return Core::monotonic_now() - this->last_log_answer > longest_poll + log_lost_after;
}

void FateService::follow()
{
    while (true) {
        bool wants_older = false;
        bool is_first = false;
        {
            std::scoped_lock const lock(this->mutex);
            if (this->is_stopping)
                return;
            is_first = !this->oldest_read.has_value();
            wants_older = !is_first && !this->history_is_whole;
        }
        // NOTE: The first read does not wait for a record, because no key can be served before it.
        auto const is_answered = this->read_newer(wants_older || is_first ? Core::Duration { 0 } : longest_poll);
        if (wants_older && is_answered && this->read_older())
            continue;
        if (!is_answered)
            std::this_thread::sleep_for(pause_after_failure);
    }
}

bool FateService::read_newer(Core::Duration wait)
{
    Core::LastReason last_reason;
    auto const page = this->log.read(fates_stream, this->next_to_read, wait, last_reason);
    if (!page)
        return false;
    {
        std::scoped_lock const lock(this->mutex);
        this->last_log_answer = Core::monotonic_now();
        if (!this->oldest_read) {
            // NOTE: Reading starts a page before the end, so that fresh keys can be served at once.
            auto const start = page->next.value() > page_records ? page->next.value() - page_records : 0;
            this->next_to_read = Core::Offset { std::max(start, page->earliest.value()) };
            this->oldest_read = this->next_to_read;
            this->history_is_whole = this->next_to_read == page->earliest;
            if (this->history_is_whole)
                this->ledger.set_history_start(0);
            if (page->next == this->next_to_read)
                return true;
            if (!page->records.empty() && page->records.front().offset != this->next_to_read)
                return true;
        }
        for (auto const& record : page->records)
            this->apply(record, record.offset == *this->oldest_read);
        // NOTE: A gap means that records were discarded before this reader got to them, so their content is unknown.
        if (page->records.empty() && page->earliest > this->next_to_read)
            this->next_to_read = page->earliest;
        this->ledger.remove_expired(Core::wall_clock_milliseconds());
    }
    this->changed.notify_all();
    return true;
}

bool FateService::read_older()
{
    auto const end = this->oldest_read->value();
    auto const start = end > page_records ? end - page_records : 0;
    Core::LastReason last_reason;
    auto const page = this->log.read(fates_stream, Core::Offset { start }, Core::Duration { 0 }, last_reason);
    if (!page)
        return false;
    std::scoped_lock const lock(this->mutex);
    bool is_first = true;
    for (auto const& record : page->records) {
        if (record.offset.value() >= end)
            break;
        this->apply(record, is_first);
        is_first = false;
    }
    this->oldest_read = std::max(Core::Offset { start }, page->earliest);
    auto const is_past_window = this->oldest_stamp
        && *this->oldest_stamp < Core::wall_clock_milliseconds() - this->settings.limits.max_key_age
                - 4 * this->settings.limits.max_clock_skew;
    this->history_is_whole = *this->oldest_read == page->earliest || is_past_window;
    if (this->history_is_whole)
        this->ledger.set_history_start(0);
    return true;
}

void FateService::apply(Platform::LogRecord const& record, bool is_oldest_read)
{
    this->next_to_read = std::max(this->next_to_read, Core::Offset { record.offset.value() + 1 });
    auto const batch = Fate::Batch::try_decode(record.payload);
    if (!batch) {
        Log::EventLine("fate_record_unreadable").with("offset", record.offset.value()).error();
        return;
    }
    for (auto const& one : batch->records) {
        for (auto& answer : this->ledger.apply(record.offset, one, batch->at_milliseconds))
            this->to_append.push_back(std::move(answer));
    }
    if (!is_oldest_read)
        return;
    this->oldest_stamp = batch->at_milliseconds;
    if (!this->history_is_whole)
        this->ledger.set_history_start(batch->at_milliseconds);
}

Core::Duration FateService::append_interval() const
{
    return Core::from_seconds(this->settings.boxes / this->settings.appends_per_second);
}

void FateService::drop_unwanted_claims()
{
    std::erase_if(this->to_append, [this](Fate::Record const& record) {
        auto const* claim = std::get_if<Fate::Claim>(&record);
        return claim != nullptr && !this->ledger.is_wanted(*claim);
    });
}

void FateService::append_batches()
{
    std::unique_lock lock(this->mutex);
    auto next_append = Core::monotonic_now();
    while (true) {
        this->changed.wait(lock, [&] { return this->is_stopping || !this->to_append.empty(); });
        if (this->to_append.empty())
            return;
        auto const wait = next_append - Core::monotonic_now();
        if (wait.count() > 0) {
            lock.unlock();
            std::this_thread::sleep_for(wait);
            lock.lock();
        }
        this->drop_unwanted_claims();
        if (this->to_append.empty())
            continue;
        Fate::Batch const batch { Core::wall_clock_milliseconds(), std::exchange(this->to_append, {}) };
        next_append = Core::monotonic_now() + this->append_interval();
        lock.unlock();
        auto const result = this->log.append(fates_stream, batch.encode(), append_timeout);
        this->metrics.count_append(result);
        lock.lock();
        if (std::holds_alternative<Platform::Appended>(result))
            continue;
        // NOTE: After a lost answer a claim may stand already, so it is never appended again; who waits for it reads
        // on. Settlements say the same however often they stand in the log.
        auto const may_stand = std::holds_alternative<Platform::AppendUnknown>(result);
        for (auto const& record : batch.records) {
            if (!may_stand || std::holds_alternative<Fate::Settled>(record))
                this->to_append.push_back(record);
        }
        if (this->is_stopping)
            return;
        next_append = std::max(next_append, Core::monotonic_now() + Core::Duration { pause_after_failure });
    }
}

}
