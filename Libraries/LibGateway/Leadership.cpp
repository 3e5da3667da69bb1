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
    std::uint64_t process, Routing::SocketAddress store, Core::Duration lease, bool is_first_start, Ways ways)
    : state(state)
    , boxes(boxes)
    , box_name(std::move(own.name))
    , own_address(std::move(own.address))
    , process(process)
    , connection(state.context, std::move(store))
    , ways(std::move(ways))
    , election(lease)
    , ticked_at(monotonic_now())
    , lease(lease)
{
    this->election.started(this->ticked_at, is_first_start);
}

Task<void> Leadership::acquire()
{
    constexpr Core::Duration look_again_after { std::chrono::milliseconds(5) };
    while (this->is_busy)
        co_await sleep_for(look_again_after);
    this->is_busy = true;
}

void Leadership::note_time(Instant now)
{
    bool const stood_still = now - this->ticked_at > standstill;
    this->ticked_at = now;
    if (stood_still)
        this->woke(now);
}

Task<void> Leadership::stand()
{
    for (;;) {
        co_await sleep_for(tick);
        auto const now = monotonic_now();
        this->note_time(now);
        if (this->leads() && this->state.is_stopping)
            this->step_down("stopping");
        this->step_down_if_cut_off(now);
        if (this->leads()) {
            static_cast<void>(co_await this->may_act());
            continue;
        }
        this->must_claim_again = false;
        // NOTE: The place in the order is looked up only when it matters, since boxes have little processor time.
        if (!this->may_stand(now)) {
            this->in_touch_since.reset();
            continue;
        }
        if (!this->in_touch_since)
            this->in_touch_since = now;
        if (now - *this->in_touch_since < listening_time || !this->election.may_claim(0, now)
            || !this->election.may_claim(this->rank(), now))
            continue;
        co_await this->acquire();
        co_await this->claim({});
        this->release();
    }
}

bool Leadership::may_stand(Instant now) const
{
    // NOTE: Where what this box knows from the store is old, the store answers nobody, and a claim would fail too.
    bool const is_in_touch = this->state.router.trust(now) == Routing::ConfigurationTrust::Fresh;
    return is_in_touch && !this->state.is_stopping && this->boxes.size() > 0 && this->ways.hears_others(now);
}

void Leadership::step_down_if_cut_off(Instant now)
{
    if (!this->leads() || this->ways.hears_others(now))
        this->others_heard_at = now;
    else if (now - this->others_heard_at > this->lease)
        this->step_down("no other box is heard");
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
    bool const is_own = this->leader_log.standing(this->process) == LeaderLog::Standing::Leads;
    // NOTE: A claim whose answer was lost shows here.
    if (is_own && this->leader_log.token() != this->refused_token) {
        this->take_lead();
        co_return;
    }
    if (this->gives_unheard_leader_time())
        co_return;
    this->first_own_window = this->leader_log.first_window(this->state.usage_window_at(monotonic_now()));
    Leader::Claim const claim { this->box_name, this->process, this->leader_log.era(), this->first_own_window };
    auto const outcome = co_await this->append(this->leader_log.records_of_claim(claim, known_reports));
    if (outcome == Appended::Done) {
        this->take_lead();
        co_return;
    }
    Log::EventLine("leader_claim_failed")
        .with("outcome", outcome == Appended::EndMoved ? "another box wrote" : "unknown")
        .info();
    this->election.claim_failed(monotonic_now());
}

bool Leadership::gives_unheard_leader_time()
{
    auto const& last = this->leader_log.claim();
    if (!last || last->box == this->box_name)
        return false;
    auto const token = this->leader_log.token()->value();
    auto const& known = this->election.leader();
    if (known && known->token >= token)
        return false;
    // NOTE: Its first word may be on its way, or lost. Heard of now, it has a lease to be heard again.
    return this->election.hear({ token, last->box, 0, 0, 0, false, {} }, monotonic_now());
}

void Leadership::take_lead()
{
    auto const now = monotonic_now();
    this->own_token = this->leader_log.token();
    this->led_since = now;
    this->is_in_doubt = false;
    this->must_claim_again = false;
    this->next_window = this->first_own_window;
    this->election.won(this->announcement(now), now);
    this->state.metrics.set_is_leader(true);
    Log::EventLine("leader_claimed")
        .with("box", this->box_name)
        .with("token", this->own_token->value())
        .with("era", this->own_token->era)
        .with("first_window", this->first_own_window)
        .with("reports_known", this->leader_log.reports().size())
        .info();
    this->tell(now);
}

void Leadership::lose_lead(std::string_view why)
{
    if (!this->leads())
        return;
    Log::EventLine("leader_ended")
        .with("box", this->box_name)
        .with("token", this->own_token->value())
        .with("reason", why)
        .info();
    this->own_token.reset();
    this->is_in_doubt = false;
    this->election.stepped_down(monotonic_now());
    this->state.metrics.set_is_leader(false);
}

void Leadership::step_down(std::string_view why)
{
    if (!this->leads())
        return;
    auto resignation = this->announcement(monotonic_now());
    resignation.has_resigned = true;
    auto const bytes = Leader::encode(resignation);
    this->lose_lead(why);
    // NOTE: Whoever misses it follows a lease later.
    this->ways.to_some(bytes, this->boxes.size());
}

Task<void> Leadership::look_again()
{
    auto const known_reports = this->leader_log.reports();
    if (!co_await this->read_log()) {
        this->look_at = monotonic_now() + this->look_pause;
        this->look_pause = std::min(2 * this->look_pause, longest_look_pause);
        co_return;
    }
    this->look_pause = first_look_pause;
    auto const standing = this->leader_log.standing(this->process);
    if (standing == LeaderLog::Standing::Leads) {
        this->is_in_doubt = false;
        this->must_claim_again = false;
        co_return;
    }
    if (standing == LeaderLog::Standing::OtherLeads) {
        this->lose_lead("another box leads");
        co_return;
    }
    // NOTE: The store's copy lacks this box's claim, or has it from before: a token of the new history is needed, since
    // another box may have taken the lead in what was lost.
    this->lose_lead("the store came back from a copy");
    co_await this->claim(known_reports);
}

Task<bool> Leadership::may_act()
{
    this->note_time(monotonic_now());
    bool const has_to_look = this->leads() && (this->is_in_doubt || this->must_claim_again);
    if (has_to_look && monotonic_now() >= this->look_at)
        co_await this->look_who_leads();
    co_return this->leads() && !this->is_in_doubt && !this->must_claim_again && !this->state.is_stopping;
}

Task<void> Leadership::look_who_leads()
{
    co_await this->acquire();
    if (this->leads())
        co_await this->look_again();
    this->release();
}

Task<void> Leadership::was_superseded()
{
    co_await this->look_who_leads();
    // NOTE: The log knows no later leader, but the platform has seen a higher token. Only a new claim gets above it.
    if (this->leads())
        this->refused_token = this->own_token;
    this->lose_lead("the platform has seen a higher token");
}

Task<bool> Leadership::write_report(std::uint64_t window, Leader::AccountCounts const& counts)
{
    co_await this->acquire();
    bool is_written = this->leads() && this->leader_log.reports().contains(window);
    // NOTE: This box may have claimed anew while it waited for its turn, in another history of the store.
    bool const is_left_out = window < this->first_own_window;
    if (this->leads() && !is_written && !is_left_out) {
        auto const outcome = co_await this->append(this->leader_log.records_of_report(window, counts));
        if (outcome != Appended::Done) {
            this->is_in_doubt = true;
            co_await this->look_again();
        }
        is_written = this->leads() && !this->is_in_doubt && this->leader_log.reports().contains(window);
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
    this->note_store(answer.has_value(), monotonic_now());
    if (!answer) {
        Log::EventLine("leader_log_call_failed").with("call", "append").with("reason", reason.text).warning();
        co_return Appended::Unknown;
    }
    // NOTE: In another history of the store the log may end at the same offset by chance.
    if (answer->era != this->leader_log.era() || Adapter::is_append_conflict(answer->status))
        co_return Appended::EndMoved;
    auto const place = answer->status == status_ok ? Adapter::decode_append(answer->body, reason) : std::nullopt;
    if (!place) {
        auto const why = reason.text.empty() ? "status " + std::to_string(answer->status) : reason.text;
        Log::EventLine("leader_log_call_failed").with("call", "append").with("reason", why).warning();
        co_return Appended::Unknown;
    }
    this->leader_log.appended(records, place->offset);
    co_return Appended::Done;
}

Task<bool> Leadership::read_log()
{
    Core::LastReason reason;
    std::optional<std::uint64_t> era;
    bool is_one_history = true;
    auto const topic = co_await read_whole_topic(
        Adapter::Topic::Leader, reason, [&, this](std::string const& target) -> Task<std::optional<StoreAnswer>> {
            auto answer = co_await this->connection.get(target, timeouts, reason);
            this->state.metrics.count_store_call("leader", answer ? std::to_string(answer->status) : "no-answer");
            this->note_store(answer.has_value(), monotonic_now());
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
        auto const why = topic ? "pages of two histories of the store" : reason.text;
        Log::EventLine("leader_log_call_failed").with("call", "read").with("reason", why).warning();
        co_return false;
    }
    std::vector<Leader::LogRecord> records;
    for (std::size_t index = 0; index < topic->records.size(); ++index)
        records.push_back({ topic->records[index].key, topic->records[index].value, topic->offsets[index] });
    this->leader_log = Leader::LeaderLog::from(records, topic->end, era.value_or(0));
    co_return true;
}

void Leadership::note_store(bool is_answered, Instant now)
{
    if (is_answered)
        this->store_lost_since.reset();
    else if (!this->store_lost_since)
        this->store_lost_since = now;
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
        this->note_time(now);
        bool const is_cut_off = this->store_lost_since && now - *this->store_lost_since > longest_store_loss;
        if (this->leads() && !this->is_in_doubt && !is_cut_off)
            this->tell(now);
    }
}

void Leadership::tell(Instant now)
{
    auto const bytes = Leader::encode(this->announcement(now));
    std::vector<Membership::BoxRecord> all;
    for (auto const& [name, box] : this->boxes.all())
        all.push_back(box);
    auto const ordered = Membership::BoxDirectory::in_order(std::move(all));
    for (std::size_t index = 0; index < std::min(boxes_told_always, ordered.size()); ++index) {
        if (ordered[index].name != this->box_name)
            this->ways.to_box(ordered[index].address, bytes);
    }
    this->ways.to_some(bytes, boxes_told_in_turn);
}

std::optional<Leadership::News> Leadership::news(Instant now) const
{
    if (this->leads() && !this->is_in_doubt)
        return News { Leader::encode(this->announcement(now)), now };
    auto const& known = this->election.leader();
    if (!known || !this->heard_at)
        return {};
    return News { Leader::encode(*known), *this->heard_at };
}

void Leadership::take_news(News const& news)
{
    auto const message = Leader::decode_leader_message(news.bytes);
    auto const* const announcement = message ? std::get_if<Leader::Announcement>(&*message) : nullptr;
    bool const is_newer = announcement && (!this->heard_at || news.told_at > *this->heard_at);
    if (is_newer && announcement->box != this->box_name)
        this->hear(*announcement, news.told_at);
}

void Leadership::hear(Leader::Announcement const& announcement, Instant told_at)
{
    auto const known = this->election.leader();
    if (!this->election.hear(announcement, told_at))
        return;
    this->heard_at = told_at;
    if (!known || known->token != announcement.token)
        Log::EventLine("leader_heard").with("box", announcement.box).with("token", announcement.token).info();
    this->state.clock.follow(announcement.unix_microseconds, announcement.clocks, told_at);
    if (this->leads() && announcement.token > this->own_token->value())
        this->lose_lead("another box leads");
}

std::optional<Leader::Announcement> Leadership::leader(Instant now) const
{
    auto const& known = this->election.leader();
    bool const is_recent = this->heard_at && now - *this->heard_at <= announcement_memory;
    if (!known || known->has_resigned || !is_recent)
        return {};
    return known;
}

void Leadership::woke(Instant now)
{
    this->election.woke(now);
    this->is_in_doubt = this->leads();
}

}
