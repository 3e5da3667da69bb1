#include <LibMembership/ControlSource.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Membership {

namespace {

/// Enough to come from any first pause to the longest.
constexpr unsigned most_doublings = 10;

}

ControlSource::ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds)
    : box_name(std::move(box_name))
    , failure_domain(std::move(failure_domain))
    , bounds(bounds)
{
}

void ControlSource::woke(Instant now)
{
    this->waits_until = now + this->patience();
    this->vouched_at.reset();
    this->stale_since.reset();
    this->troubles.clear();
}

void ControlSource::take_boxes(std::vector<BoxRecord> records, Instant now)
{
    if (!this->is_started)
        this->waits_until = now + this->patience();
    this->is_started = true;
    this->directory.replace_all(std::move(records));
    this->order = this->directory.in_order(this->failure_domain);
    this->find_leaders();
    std::erase_if(this->troubles, [this](auto const& entry) { return !this->directory.find(entry.first); });
}

std::vector<BoxRecord> ControlSource::candidates() const
{
    if (this->order.size() < fewest_boxes)
        return {};
    std::vector<BoxRecord> before_own;
    for (auto const& box : this->order) {
        if (box.name == this->box_name || before_own.size() == most_candidates)
            break;
        before_own.push_back(box);
    }
    return before_own;
}

void ControlSource::find_leaders()
{
    std::set<std::string> domains;
    for (auto const& [name, box] : this->directory.all())
        domains.insert(box.failure_domain);
    std::vector<BoxRecord> first_boxes;
    for (auto const& domain : domains) {
        auto const of_domain = this->directory.in_order(domain);
        if (of_domain.size() >= fewest_boxes)
            first_boxes.push_back(of_domain.front());
    }
    this->leaders = BoxDirectory::in_order(std::move(first_boxes));
}

std::vector<BoxRecord> ControlSource::candidates(Instant now) const
{
    if (this->is_asked_by_domains(now))
        return {};
    auto boxes = this->is_relay(now) ? std::vector<BoxRecord> {} : this->candidates();
    if (this->order.size() < fewest_boxes)
        return boxes;
    std::size_t of_other_domains = 0;
    for (auto const& leader : this->leaders) {
        if (leader.failure_domain == this->failure_domain || of_other_domains == most_candidates)
            break;
        boxes.push_back(leader);
        ++of_other_domains;
    }
    return boxes;
}

std::vector<BoxRecord> ControlSource::last_resort(Instant now) const
{
    if (!this->is_cut_off(now))
        return {};
    std::vector<BoxRecord> boxes;
    for (auto const& leader : this->leaders) {
        if (leader.failure_domain != this->failure_domain)
            boxes.push_back(leader);
    }
    if (this->order.empty())
        return boxes;
    // NOTE: Each begins at another place, and at others as time goes on, so that they don't all ask the same ones.
    auto const turn = static_cast<std::uint64_t>(now.time_since_epoch() / turn_of_last_resort);
    auto const begin = XXH3_64bits(this->box_name.data(), this->box_name.size()) + turn * most_of_last_resort;
    for (std::size_t index = 0; index < std::min(most_of_last_resort, this->order.size()); ++index) {
        auto const& box = this->order[(begin + index) % this->order.size()];
        if (box.name != this->box_name)
            boxes.push_back(box);
    }
    return boxes;
}

bool ControlSource::is_in_trouble(BoxRecord const& box, Instant now) const
{
    auto const trouble = this->troubles.find(box.name);
    return trouble != this->troubles.end() && now < trouble->second.retry_at;
}

std::optional<BoxRecord> ControlSource::best_of(std::vector<BoxRecord> const& boxes, Instant now) const
{
    std::optional<BoxRecord> stale;
    std::optional<Instant> stale_retry_at;
    for (auto const& box : boxes) {
        if (!this->is_in_trouble(box, now))
            return box;
        auto const& trouble = this->troubles.at(box.name);
        if (!trouble.is_stale || (stale && trouble.retry_at >= *stale_retry_at))
            continue;
        stale = box;
        stale_retry_at = trouble.retry_at;
    }
    return stale;
}

std::optional<BoxRecord> ControlSource::relay(Instant now) const
{
    auto boxes = this->candidates(now);
    // NOTE: A box that the others rely on is the last to hear from them what the store says, unless it lost the store.
    for (auto& box : this->last_resort(now)) {
        if (std::ranges::find(boxes, box) == boxes.end())
            boxes.push_back(std::move(box));
    }
    return this->best_of(boxes, now);
}

void ControlSource::relay_answered(std::string const& name, Instant vouched, Instant now)
{
    this->heard_at = now;
    if (!this->is_recent(vouched, now)) {
        this->note_stale_answer(name, now);
        return;
    }
    this->stale_since.reset();
    this->troubles.erase(name);
    this->vouched_at = std::max(this->vouched_at.value_or(vouched), vouched);
}

void ControlSource::note_stale_answer(std::string const& name, Instant now)
{
    // NOTE: A box that is asked for the first time has to read the store first, so it gets some time.
    if (!this->stale_since)
        this->stale_since = now;
    if (!this->is_cut_off(now) && now - *this->stale_since <= this->patience())
        return;
    // NOTE: It lives, so it is asked again in its turn: whoever hears of the store first is found that way.
    auto& trouble = this->troubles[name];
    auto const pause = trouble.is_stale ? std::min(trouble.pause * 2, longest_stale_pause) : first_retry_pause;
    trouble = { now, now + pause, pause, true };
    this->stale_since.reset();
}

void ControlSource::relay_failed(std::string const& name, Instant now)
{
    bool const is_starting = this->awaits_first_answer(now);
    auto const [position, is_new] = this->troubles.try_emplace(name);
    auto& trouble = position->second;
    if (is_new || trouble.is_stale)
        trouble = { now, now, first_retry_pause / 2, false };
    // NOTE: Where all boxes lost power the others of the order may be up a moment later.
    trouble.pause = is_starting ? this->patience() : std::min(trouble.pause * 2, longest_retry_pause);
    trouble.retry_at = now + trouble.pause;
    this->stale_since.reset();
}

void ControlSource::was_asked(std::string const& asker_domain, Instant now)
{
    this->heard_at = now;
    bool const is_own = asker_domain.empty() || asker_domain == this->failure_domain;
    (is_own ? this->asked_at : this->asked_by_domain_at) = now;
}

bool ControlSource::reads_store(Instant now) const
{
    if (this->is_relay(now) && !this->relay(now))
        return true;
    if (this->vouched_at)
        return !this->is_recent(*this->vouched_at, now);
    // NOTE: A box that has just started asks a relay first, which spares it the first reads of the store.
    if (!this->is_started)
        return false;
    bool const is_first_question = this->troubles.empty() && !this->stale_since && this->relay(now);
    bool const may_wait = is_first_question && this->waits_until && now < *this->waits_until;
    return !may_wait;
}

bool ControlSource::awaits_first_answer(Instant now) const
{
    if (!this->waits_until || now >= *this->waits_until)
        return false;
    if (!this->is_started)
        return true;
    return !this->leads_domain(now) && this->relay(now);
}

bool ControlSource::leads_domain(Instant now) const
{
    if (this->order.size() < fewest_boxes)
        return false;
    auto const before = this->candidates();
    return before.size() < most_candidates
        && std::ranges::all_of(before, [&](BoxRecord const& box) { return this->is_in_trouble(box, now); });
}

bool ControlSource::hears_others(Instant now) const
{
    if (this->order.size() < fewest_boxes)
        return true;
    return this->heard_at && now - *this->heard_at <= asked_memory;
}

bool ControlSource::is_relay(Instant now) const
{
    return this->is_asked_by_domains(now) || (this->asked_at && now - *this->asked_at <= asked_memory);
}

bool ControlSource::is_asked_by_domains(Instant now) const
{
    return this->asked_by_domain_at && now - *this->asked_by_domain_at <= asked_memory;
}

bool ControlSource::is_cut_off(Instant now) const
{
    return this->store_failed_at && now - *this->store_failed_at <= cut_off_memory;
}

bool ControlSource::is_one_of_many(Instant now) const
{
    return this->order.size() >= fewest_boxes && !this->leads_domain(now);
}

Duration ControlSource::poll_interval(Instant now) const
{
    if (this->awaits_first_answer(now))
        return this->poll_interval() / 8;
    if (this->is_cut_off(now))
        return this->poll_interval() / 4;
    return this->leads_domain(now) ? this->poll_interval() / 2 : this->poll_interval();
}

Duration ControlSource::patience_with(BoxRecord const& relay, Instant now) const
{
    if (this->awaits_first_answer(now))
        return this->poll_interval() / 4;
    return relay.failure_domain == this->failure_domain ? this->patience() : this->patience() * 2 / 3;
}

Duration ControlSource::list_pause(unsigned readings, Instant now) const
{
    auto const crowd = static_cast<double>(this->directory.size()) / static_cast<double>(boxes_with_usual_list_pause);
    auto const longest = Core::from_seconds(Core::to_seconds(usual_list_pause) * std::max(1.0, crowd));
    if (this->relay(now))
        return longest;
    return std::min(first_list_pause * (1U << std::min(readings, most_doublings)), longest);
}

Duration ControlSource::retry_pause(unsigned failures, Instant now) const
{
    auto first = first_store_pause;
    auto longest = longest_store_pause;
    if (this->is_one_of_many(now)) {
        auto const crowd = static_cast<double>(this->directory.size()) / static_cast<double>(boxes_with_short_pauses);
        auto const crowded = Core::from_seconds(Core::to_seconds(longest_store_pause) * std::max(1.0, crowd));
        longest = std::min(crowded, longest_crowd_pause);
        first = std::max(first, longest / 2);
    }
    auto const pause = std::min(first * (1U << std::min(failures, most_doublings)), longest);
    /// Boxes that lost the store together come back spread over half of the pause.
    constexpr double least_share = 0.75;
    constexpr double spread_share = 0.5;
    constexpr std::uint64_t steps = 1024;
    auto const step = XXH3_64bits_withSeed(this->box_name.data(), this->box_name.size(), failures) % steps;
    auto const share = static_cast<double>(step) / static_cast<double>(steps);
    return Core::from_seconds(Core::to_seconds(pause) * (least_share + spread_share * share));
}

bool ControlSource::is_recent(Instant vouched, Instant now) const
{
    return now - vouched <= this->oldest();
}

std::vector<std::string> ControlSource::long_gone(Instant now) const
{
    std::vector<std::string> names;
    for (auto const& [name, trouble] : this->troubles) {
        if (now - trouble.since > gone_after)
            names.push_back(name);
    }
    return names;
}

}
