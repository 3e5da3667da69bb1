#include <LibGateway/Leadership.h>

#include <LibGateway/HttpStatus.h>
#include <LibGateway/WholeTopic.h>
#include <LibLeader/LeaderMessages.h>
#include <LibLog/EventLog.h>
#include <algorithm>

namespace Gateway {

using Core::Instant;
using Core::monotonic_now;
using Leader::LeaderLog;

Leadership::Leadership(GatewayState& state, Membership::BoxDirectory const& boxes, Membership::BoxRecord own,
    std::uint64_t process, Routing::SocketAddress store, Core::Duration lease, bool is_first_start, Transport transport)
    : state(state)
    , boxes(boxes)
    , box_name(std::move(own.name))
    , own_address(std::move(own.address))
    , process(process)
    , connection(state.context, std::move(store))
    , transport(std::move(transport))
    , election(lease)
    , checked_at(monotonic_now())
    , lease(lease)
{
    this->election.started(this->checked_at, is_first_start);
}

Task<void> Leadership::acquire()
{
    constexpr Core::Duration retry_after { std::chrono::milliseconds(5) };
    while (this->is_busy)
        co_await sleep_for(retry_after);
    this->is_busy = true;
}

void Leadership::check_for_stall(Instant now)
{
    bool const was_stalled = now - this->checked_at > stall_threshold;
    this->checked_at = now;
    if (was_stalled)
        this->after_suspension(now);
}

Task<void> Leadership::run_election()
{
    for (;;) {
        co_await sleep_for(check_interval);
        auto const now = monotonic_now();
        this->check_for_stall(now);
        if (this->is_leader() && this->state.is_stopping)
            this->step_down("stopping");
        this->step_down_if_cut_off(now);
        if (this->is_leader()) {
            static_cast<void>(co_await this->may_act());
            continue;
        }
        this->must_reclaim = false;
        // NOTE: The rank is computed only when it is needed, to save processor time.
        if (!this->may_run_for_leader(now)) {
            this->in_touch_since.reset();
            continue;
        }
        if (!this->in_touch_since)
            this->in_touch_since = now;
        // NOTE: The list of boxes may come late at the first start of all boxes, and announcements come without it.
        if (now - *this->in_touch_since < claim_delay || this->boxes.size() == 0 || !this->election.may_claim(0, now)
            || !this->election.may_claim(this->rank(), now))
            continue;
        co_await this->acquire();
        co_await this->claim({});
        this->release();
    }
}

bool Leadership::may_run_for_leader(Instant now) const
{
    // NOTE: If this box's configuration is outdated, the store is probably unreachable for all boxes, and a claim would
    // fail too.
    bool const is_in_touch = this->state.router.configuration_freshness(now) == Routing::ConfigurationFreshness::Fresh;
    return is_in_touch && !this->state.is_stopping && this->transport.has_recent_contact(now);
}

void Leadership::step_down_if_cut_off(Instant now)
{
    if (!this->is_leader() || this->transport.has_recent_contact(now))
        this->last_contact_at = now;
    else if (now - this->last_contact_at > this->lease)
        this->step_down("no contact with other boxes");
}

std::size_t Leadership::rank() const
{
    std::vector<Membership::BoxRecord> all;
    for (auto const& [name, box] : this->boxes.all())
        all.push_back(box);
    auto const ordered = Membership::BoxDirectory::in_order(std::move(all));
    auto const own = std::ranges::find(ordered, this->box_name, &Membership::BoxRecord::name);
    return static_cast<std::size_t>(own - ordered.begin());
}

Task<void> Leadership::claim(std::map<std::uint64_t, Leader::AccountCounts> const& known_reports)
{
    if (!co_await this->read_log()) {
        this->election.claim_failed(monotonic_now());
        co_return;
    }
    bool const is_own = this->leader_log.status(this->process) == LeaderLog::Status::Leads;
    // NOTE: An earlier claim whose answer was lost may have been appended.
    if (is_own && this->leader_log.token() != this->refused_token) {
        this->become_leader();
        co_return;
    }
    if (this->defers_to_new_leader())
        co_return;
    this->first_own_window = this->leader_log.first_window(this->state.usage_window_at(monotonic_now()));
    Leader::Claim const claim { this->box_name, this->process, this->leader_log.era(), this->first_own_window };
    auto const outcome = co_await this->append(this->leader_log.claim_records(claim, known_reports));
    if (outcome == Appended::Done) {
        this->become_leader();
        co_return;
    }
    Log::EventLine("leader_claim_failed")
        .with("outcome", outcome == Appended::EndMoved ? "another box appended to the log" : "unknown")
        .info();
    this->election.claim_failed(monotonic_now());
}

bool Leadership::defers_to_new_leader()
{
    auto const& last = this->leader_log.claim();
    if (!last || last->box == this->box_name)
        return false;
    auto const token = this->leader_log.token()->value();
    auto const& known = this->election.leader();
    if (known && known->token >= token)
        return false;
    // NOTE: The new leader's first announcement may be delayed or lost. Counting it as received now gives the new
    // leader a lease to announce itself.
    return this->election.receive({ token, last->box, 0, 0, 0, false, {} }, monotonic_now());
}

void Leadership::become_leader()
{
    auto const now = monotonic_now();
    this->own_token = this->leader_log.token();
    this->became_leader_at = now;
    this->must_read_log = false;
    this->must_reclaim = false;
    this->next_window = this->first_own_window;
    this->election.claim_succeeded(this->announcement(now), now);
    this->state.metrics.set_is_leader(true);
    Log::EventLine("leader_claimed")
        .with("box", this->box_name)
        .with("token", this->own_token->value())
        .with("era", this->own_token->era)
        .with("first_window", this->first_own_window)
        .with("reports_known", this->leader_log.reports().size())
        .info();
    this->send_announcement(now);
}

void Leadership::end_leadership(std::string_view reason)
{
    if (!this->is_leader())
        return;
    Log::EventLine("leader_ended")
        .with("box", this->box_name)
        .with("token", this->own_token->value())
        .with("reason", reason)
        .info();
    this->own_token.reset();
    this->must_read_log = false;
    this->election.stepped_down(monotonic_now());
    this->state.metrics.set_is_leader(false);
}

void Leadership::step_down(std::string_view reason)
{
    if (!this->is_leader())
        return;
    auto resignation = this->announcement(monotonic_now());
    resignation.has_resigned = true;
    auto const bytes = Leader::encode(resignation);
    this->end_leadership(reason);
    // NOTE: A box that misses the resignation can still claim after the lease.
    this->transport.to_some(bytes, this->boxes.size());
}

Task<void> Leadership::recheck_log()
{
    auto const known_reports = this->leader_log.reports();
    if (!co_await this->read_log()) {
        this->next_check_at = monotonic_now() + this->check_pause;
        this->check_pause = std::min(2 * this->check_pause, max_check_pause);
        co_return;
    }
    this->check_pause = min_check_pause;
    auto const standing = this->leader_log.status(this->process);
    if (standing == LeaderLog::Status::Leads) {
        this->must_read_log = false;
        this->must_reclaim = false;
        co_return;
    }
    if (standing == LeaderLog::Status::OtherLeads) {
        this->end_leadership("another box leads");
        co_return;
    }
    // NOTE: The log lacks this box's claim, or has it from an earlier era. A token of the new era is needed, since
    // another box may have become leader in the part of the log that was lost.
    this->end_leadership("the store was restored from an older copy");
    co_await this->claim(known_reports);
}

Task<bool> Leadership::may_act()
{
    this->check_for_stall(monotonic_now());
    bool const needs_check = this->is_leader() && (this->must_read_log || this->must_reclaim);
    if (needs_check && monotonic_now() >= this->next_check_at)
        co_await this->check_leader();
    co_return this->is_leader() && !this->must_read_log && !this->must_reclaim && !this->state.is_stopping;
}

Task<void> Leadership::check_leader()
{
    co_await this->acquire();
    if (this->is_leader())
        co_await this->recheck_log();
    this->release();
}

Task<void> Leadership::was_superseded()
{
    co_await this->check_leader();
    // NOTE: The log contains no later leader, but the platform has seen a higher token, so only a new claim yields a
    // usable one.
    if (this->is_leader())
        this->refused_token = this->own_token;
    this->end_leadership("the platform has seen a higher token");
}

Task<bool> Leadership::write_report(std::uint64_t window, Leader::AccountCounts const& counts)
{
    co_await this->acquire();
    bool is_written = this->is_leader() && this->leader_log.reports().contains(window);
    // NOTE: While it waited, this box may have claimed again in another era of the store.
    bool const is_left_out = window < this->first_own_window;
    if (this->is_leader() && !is_written && !is_left_out) {
        auto const outcome = co_await this->append(this->leader_log.report_records(window, counts));
        if (outcome != Appended::Done) {
            this->must_read_log = true;
            co_await this->recheck_log();
        }
        is_written = this->is_leader() && !this->must_read_log && this->leader_log.reports().contains(window);
    }
    this->release();
    co_return is_written;
}

Task<Leadership::Appended> Leadership::append(std::vector<Leader::LogRecord> const& records)
{
    std::string body;
    for (auto const& record : records)
        body += Adapter::encode_record({ record.key, record.value });
    Core::LastReason reason;
    auto const target = Adapter::append_target(Adapter::Topic::Leader, this->leader_log.end());
    auto const answer = co_await this->connection.post(target, body, timeouts, reason);
    this->state.metrics.count_store_call("leader", answer ? std::to_string(answer->status) : "no-answer");
    this->note_store_call(answer.has_value(), monotonic_now());
    if (!answer) {
        Log::EventLine("leader_log_call_failed").with("call", "append").with("reason", reason.text).warning();
        co_return Appended::Unknown;
    }
    // NOTE: In another era of the store, the log may end at the same offset by chance.
    if (answer->era != this->leader_log.era() || Adapter::is_append_conflict(answer->status))
        co_return Appended::EndMoved;
    auto const place = answer->status == status_ok ? Adapter::decode_append(answer->body, reason) : std::nullopt;
    if (!place) {
        auto const failure = reason.text.empty() ? "status " + std::to_string(answer->status) : reason.text;
        Log::EventLine("leader_log_call_failed").with("call", "append").with("reason", failure).warning();
        co_return Appended::Unknown;
    }
    this->leader_log.append_succeeded(records, place->offset);
    co_return Appended::Done;
}

Task<bool> Leadership::read_log()
{
    Core::LastReason reason;
    std::optional<std::uint64_t> era;
    bool is_one_history = true;
    auto const topic = co_await read_whole_topic(
        Adapter::Topic::Leader, reason, [&, this](std::string const& target) -> Task<std::optional<HttpAnswer>> {
            auto answer = co_await this->connection.get(target, timeouts, reason);
            this->state.metrics.count_store_call("leader", answer ? std::to_string(answer->status) : "no-answer");
            this->note_store_call(answer.has_value(), monotonic_now());
            if (answer && answer->status != status_ok) {
                reason.text = "status " + std::to_string(answer->status);
                co_return std::nullopt;
            }
            is_one_history &= !answer || !era || *era == answer->era;
            if (answer)
                era = answer->era;
            co_return answer;
        });
    if (!topic || !is_one_history) {
        auto const failure = topic ? "pages of two eras of the store" : reason.text;
        Log::EventLine("leader_log_call_failed").with("call", "read").with("reason", failure).warning();
        co_return false;
    }
    std::vector<Leader::LogRecord> records;
    for (std::size_t index = 0; index < topic->records.size(); ++index)
        records.push_back({ topic->records[index].key, topic->records[index].value, topic->offsets[index] });
    this->leader_log = Leader::LeaderLog::from(records, topic->end, era.value_or(0), this->state.usage_schedule);
    co_return true;
}

void Leadership::note_store_call(bool is_answered, Instant now)
{
    if (is_answered)
        this->store_unreachable_since.reset();
    else if (!this->store_unreachable_since)
        this->store_unreachable_since = now;
}

Adapter::LeaderIdentity Leadership::identity() const
{
    return { this->box_name, this->own_token->value() };
}

Leader::Announcement Leadership::announcement(Instant now) const
{
    return { this->own_token->value(), this->box_name, this->next_window, this->state.clock.unix_microseconds(now),
        this->state.clock.clocks(), false, this->own_address };
}

Task<void> Leadership::announce()
{
    for (;;) {
        co_await sleep_for(announce_interval);
        auto const now = monotonic_now();
        this->check_for_stall(now);
        bool const is_cut_off
            = this->store_unreachable_since && now - *this->store_unreachable_since > max_store_outage;
        if (this->is_leader() && !this->must_read_log && !is_cut_off)
            this->send_announcement(now);
    }
}

void Leadership::send_announcement(Instant now)
{
    auto const bytes = Leader::encode(this->announcement(now));
    std::vector<Membership::BoxRecord> all;
    for (auto const& [name, box] : this->boxes.all())
        all.push_back(box);
    auto const ordered = Membership::BoxDirectory::in_order(std::move(all));
    for (std::size_t index = 0; index < std::min(boxes_announced_always, ordered.size()); ++index) {
        if (ordered[index].name != this->box_name)
            this->transport.to_box(ordered[index].address, bytes);
    }
    this->transport.to_some(bytes, boxes_announced_in_turn);
}

std::optional<Leadership::RelayedAnnouncement> Leadership::announcement_to_relay(Instant now) const
{
    if (this->is_leader() && !this->must_read_log)
        return RelayedAnnouncement { Leader::encode(this->announcement(now)), now };
    auto const& known = this->election.leader();
    if (!known || !this->announcement_received_at)
        return {};
    return RelayedAnnouncement { Leader::encode(*known), *this->announcement_received_at };
}

void Leadership::receive_relayed(RelayedAnnouncement const& relayed)
{
    auto const message = Leader::decode_leader_message(relayed.bytes);
    auto const* const announcement = message ? std::get_if<Leader::Announcement>(&*message) : nullptr;
    bool const is_newer
        = announcement && (!this->announcement_received_at || relayed.sent_at > *this->announcement_received_at);
    if (is_newer && announcement->box != this->box_name)
        this->receive(*announcement, relayed.sent_at);
}

void Leadership::receive(Leader::Announcement const& announcement, Instant sent_at)
{
    auto const known = this->election.leader();
    if (!this->election.receive(announcement, sent_at))
        return;
    this->announcement_received_at = sent_at;
    if (!known || known->token != announcement.token)
        Log::EventLine("leader_heard").with("box", announcement.box).with("token", announcement.token).info();
    this->state.clock.adopt(announcement.unix_microseconds, announcement.clocks, sent_at);
    if (this->is_leader() && announcement.token > this->own_token->value())
        this->end_leadership("another box leads");
}

std::optional<Leader::Announcement> Leadership::leader(Instant now) const
{
    auto const& known = this->election.leader();
    bool const is_recent
        = this->announcement_received_at && now - *this->announcement_received_at <= announcement_lifetime;
    if (!known || known->has_resigned || !is_recent)
        return {};
    return known;
}

void Leadership::after_suspension(Instant now)
{
    this->election.after_suspension(now);
    this->must_read_log = this->is_leader();
}

}
