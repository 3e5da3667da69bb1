#include <LibMembership/ControlSource.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Membership {

namespace {

/// Enough to get from any first pause to the maximum; limits the shift.
constexpr unsigned max_doublings = 10;

}

ControlSource::ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds)
    : box_name(std::move(box_name))
    , failure_domain(std::move(failure_domain))
    , bounds(bounds)
{
}

void ControlSource::after_suspension(Instant now)
{
    this->waits_until = now + this->relay_timeout();
    this->confirmed_at.reset();
    this->stale_since.reset();
    this->relay_failures.clear();
}

void ControlSource::update_boxes(std::vector<BoxRecord> records, Instant now)
{
    if (!this->is_started)
        this->waits_until = now + this->relay_timeout();
    this->is_started = true;
    this->directory.replace_all(std::move(records));
    // NOTE: A list without this box may be of a moment when few boxes were listed. Its order of relays is not used.
    if (this->directory.find(this->box_name))
        this->end_search();
    this->order = this->directory.in_order(this->failure_domain);
    this->update_domain_relays();
    std::erase_if(this->relay_failures, [this](auto const& entry) { return !this->directory.find(entry.first); });
}

void ControlSource::boxes_unavailable()
{
    this->is_started = true;
    this->end_search();
}

void ControlSource::end_search()
{
    this->searches = false;
    this->first_relay.reset();
}

std::optional<Instant> ControlSource::unresponsive_since(std::string const& name) const
{
    auto const failure = this->relay_failures.find(name);
    return failure == this->relay_failures.end() ? std::nullopt : std::optional(failure->second.since);
}

std::vector<BoxRecord> ControlSource::candidates() const
{
    if (this->order.size() < min_boxes_for_relays)
        return {};
    std::vector<BoxRecord> before_own;
    for (auto const& box : this->order) {
        if (box.name == this->box_name || before_own.size() == max_candidates)
            break;
        before_own.push_back(box);
    }
    return before_own;
}

void ControlSource::update_domain_relays()
{
    std::set<std::string> domains;
    for (auto const& [name, box] : this->directory.all())
        domains.insert(box.failure_domain);
    std::vector<BoxRecord> first_boxes;
    for (auto const& domain : domains) {
        auto const of_domain = this->directory.in_order(domain);
        if (of_domain.size() >= min_boxes_for_relays)
            first_boxes.push_back(of_domain.front());
    }
    this->domain_relays = BoxDirectory::in_order(std::move(first_boxes));
}

std::vector<BoxRecord> ControlSource::candidates(Instant now) const
{
    if (this->serves_other_domains(now))
        return {};
    auto boxes = this->is_relay(now) ? std::vector<BoxRecord> {} : this->candidates();
    if (this->order.size() < min_boxes_for_relays)
        return boxes;
    std::size_t of_other_domains = 0;
    for (auto const& domain_relay : this->domain_relays) {
        if (domain_relay.failure_domain == this->failure_domain || of_other_domains == max_candidates)
            break;
        boxes.push_back(domain_relay);
        ++of_other_domains;
    }
    return boxes;
}

std::vector<BoxRecord> ControlSource::fallback_relays(Instant now) const
{
    if (!this->is_store_unreachable(now))
        return {};
    std::vector<BoxRecord> boxes;
    for (auto const& domain_relay : this->domain_relays) {
        if (domain_relay.failure_domain != this->failure_domain)
            boxes.push_back(domain_relay);
    }
    if (this->order.empty())
        return boxes;
    // NOTE: Each box starts at a different position that changes over time, so that the requests are spread over all.
    auto const rotation = static_cast<std::uint64_t>(now.time_since_epoch() / fallback_rotation);
    auto const begin = XXH3_64bits(this->box_name.data(), this->box_name.size()) + rotation * max_fallback_peers;
    for (std::size_t index = 0; index < std::min(max_fallback_peers, this->order.size()); ++index) {
        auto const& box = this->order[(begin + index) % this->order.size()];
        if (box.name != this->box_name)
            boxes.push_back(box);
    }
    return boxes;
}

bool ControlSource::is_backed_off(BoxRecord const& box, Instant now) const
{
    auto const failure = this->relay_failures.find(box.name);
    return failure != this->relay_failures.end() && now < failure->second.retry_at;
}

std::optional<BoxRecord> ControlSource::first_usable(std::vector<BoxRecord> const& boxes, Instant now) const
{
    std::optional<BoxRecord> stale;
    std::optional<Instant> stale_retry_at;
    for (auto const& box : boxes) {
        if (!this->is_backed_off(box, now))
            return box;
        auto const& failure = this->relay_failures.at(box.name);
        if (!failure.is_stale || (stale && failure.retry_at >= *stale_retry_at))
            continue;
        stale = box;
        stale_retry_at = failure.retry_at;
    }
    return stale;
}

std::optional<BoxRecord> ControlSource::relay(Instant now) const
{
    if (this->searches)
        return this->first_relay && !this->is_backed_off(*this->first_relay, now) ? this->first_relay : std::nullopt;
    auto boxes = this->candidates(now);
    // NOTE: A box that serves as a relay is the last to get data from other boxes, unless it can't reach the store.
    for (auto& box : this->fallback_relays(now)) {
        if (std::ranges::find(boxes, box) == boxes.end())
            boxes.push_back(std::move(box));
    }
    return this->first_usable(boxes, now);
}

void ControlSource::relay_answered(std::string const& name, Instant data_confirmed_at, Instant now)
{
    this->last_contact_at = now;
    if (!this->is_recent(data_confirmed_at, now)) {
        this->record_stale_answer(name, now);
        return;
    }
    this->stale_since.reset();
    this->relay_failures.erase(name);
    this->confirmed_at = std::max(this->confirmed_at.value_or(data_confirmed_at), data_confirmed_at);
}

void ControlSource::record_stale_answer(std::string const& name, Instant now)
{
    // NOTE: A relay that receives its first request has to read the store before its data is recent.
    if (!this->stale_since)
        this->stale_since = now;
    // NOTE: A box that searches has no other relay to ask.
    if (this->searches)
        return;
    if (!this->is_store_unreachable(now) && now - *this->stale_since <= this->relay_timeout())
        return;
    // NOTE: The relay responds, so it is retried soon: this finds the first box that reaches the store again.
    auto& failure = this->relay_failures[name];
    auto const pause = failure.is_stale ? std::min(failure.pause * 2, max_stale_pause) : first_relay_pause;
    failure = { now, now + pause, pause, true };
    this->stale_since.reset();
}

void ControlSource::relay_failed(std::string const& name, Instant now)
{
    bool const is_starting = this->awaits_first_answer(now);
    auto const [position, is_new] = this->relay_failures.try_emplace(name);
    auto& failure = position->second;
    if (is_new || failure.is_stale)
        failure = { now, now, first_relay_pause / 2, false };
    // NOTE: If all boxes lost power, the other candidates may be running a moment later.
    failure.pause = is_starting ? this->relay_timeout() : std::min(failure.pause * 2, max_relay_pause);
    failure.retry_at = now + failure.pause;
    this->stale_since.reset();
}

void ControlSource::request_received(std::string const& requester_domain, Instant now)
{
    this->last_contact_at = now;
    bool const is_own = requester_domain.empty() || requester_domain == this->failure_domain;
    (is_own ? this->requested_at : this->requested_by_other_domain_at) = now;
}

bool ControlSource::reads_store(Instant now) const
{
    if (this->searches)
        return this->confirmed_at && !this->is_recent(*this->confirmed_at, now);
    if (this->is_relay(now) && !this->relay(now))
        return true;
    if (this->confirmed_at)
        return !this->is_recent(*this->confirmed_at, now);
    // NOTE: A box that has just started uses a relay first, which saves its first reads of the store.
    if (!this->is_started)
        return false;
    bool const is_first_request = this->relay_failures.empty() && !this->stale_since && this->relay(now);
    bool const may_wait = is_first_request && this->waits_until && now < *this->waits_until;
    return !may_wait;
}

bool ControlSource::awaits_first_answer(Instant now) const
{
    if (this->searches)
        return true;
    if (!this->waits_until || now >= *this->waits_until)
        return false;
    if (!this->is_started)
        return true;
    return !this->is_first_in_domain(now) && this->relay(now);
}

bool ControlSource::is_first_in_domain(Instant now) const
{
    if (this->order.size() < min_boxes_for_relays)
        return false;
    auto const before = this->candidates();
    return before.size() < max_candidates
        && std::ranges::all_of(before, [&](BoxRecord const& box) { return this->is_backed_off(box, now); });
}

bool ControlSource::has_recent_contact(Instant now) const
{
    if (this->order.size() < min_boxes_for_relays)
        return true;
    return this->last_contact_at && now - *this->last_contact_at <= contact_timeout;
}

bool ControlSource::is_relay(Instant now) const
{
    return this->serves_other_domains(now) || (this->requested_at && now - *this->requested_at <= contact_timeout);
}

bool ControlSource::serves_other_domains(Instant now) const
{
    return this->requested_by_other_domain_at && now - *this->requested_by_other_domain_at <= contact_timeout;
}

bool ControlSource::is_store_unreachable(Instant now) const
{
    return this->store_failed_at && now - *this->store_failed_at <= store_failure_retention;
}

bool ControlSource::has_preferred_peers(Instant now) const
{
    return this->order.size() >= min_boxes_for_relays && !this->is_first_in_domain(now);
}

Duration ControlSource::poll_interval(Instant now) const
{
    // NOTE: The first relay may still be reading the store, while all boxes of its failure domain ask it.
    if (this->searches)
        return this->poll_interval() / 2;
    if (this->awaits_first_answer(now))
        return this->poll_interval() / 8;
    if (this->is_store_unreachable(now))
        return this->poll_interval() / 4;
    return this->is_first_in_domain(now) ? this->poll_interval() / 2 : this->poll_interval();
}

Duration ControlSource::relay_timeout_for(BoxRecord const& relay, Instant now) const
{
    if (this->awaits_first_answer(now) && !this->searches)
        return this->poll_interval() / 4;
    return relay.failure_domain == this->failure_domain ? this->relay_timeout() : this->relay_timeout() * 2 / 3;
}

Duration ControlSource::list_interval(unsigned reads, Instant now) const
{
    auto const scale = static_cast<double>(this->directory.size()) / static_cast<double>(boxes_with_base_list_interval);
    auto const max_pause = Core::from_seconds(Core::to_seconds(base_list_interval) * std::max(1.0, scale));
    if (this->relay(now))
        return max_pause;
    auto const own_max_pause = this->is_relay(now) ? std::min(max_relay_list_interval, max_pause) : max_pause;
    return std::min(first_list_interval * (1U << std::min(reads, max_doublings)), own_max_pause);
}

Duration ControlSource::retry_pause(unsigned failures, Instant now) const
{
    auto first = first_store_pause;
    auto max_pause = max_store_pause;
    if (this->has_preferred_peers(now)) {
        auto const scale = static_cast<double>(this->directory.size()) / static_cast<double>(boxes_with_short_pauses);
        auto const scaled = Core::from_seconds(Core::to_seconds(max_store_pause) * std::max(1.0, scale));
        max_pause = std::min(scaled, max_scaled_store_pause);
        first = std::max(first, max_pause / 2);
    } else if (this->searches) {
        // NOTE: The number of boxes is not known yet, and all of them may have started together.
        max_pause = max_scaled_store_pause;
    }
    auto const pause = std::min(first * (1U << std::min(failures, max_doublings)), max_pause);
    /// Boxes that lost the store at the same moment retry at times spread over half of the pause.
    constexpr double min_share = 0.75;
    constexpr double spread_share = 0.5;
    constexpr std::uint64_t steps = 1024;
    auto const step = XXH3_64bits_withSeed(this->box_name.data(), this->box_name.size(), failures) % steps;
    auto const share = static_cast<double>(step) / static_cast<double>(steps);
    return Core::from_seconds(Core::to_seconds(pause) * (min_share + spread_share * share));
}

bool ControlSource::is_recent(Instant data_confirmed_at, Instant now) const
{
    return now - data_confirmed_at <= this->max_age();
}

std::vector<std::string> ControlSource::unresponsive_boxes(Instant now) const
{
    std::vector<std::string> names;
    for (auto const& [name, failure] : this->relay_failures) {
        if (now - failure.since > unresponsive_after)
            names.push_back(name);
    }
    return names;
}

}
