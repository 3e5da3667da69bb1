#include <LibMembership/ControlSource.h>

namespace Membership {

ControlSource::ControlSource(std::string box_name, std::string failure_domain, ControlBounds bounds)
    : box_name(std::move(box_name))
    , failure_domain(std::move(failure_domain))
    , bounds(bounds)
{
}

void ControlSource::take_boxes(std::vector<BoxRecord> records, Instant now)
{
    if (!this->is_started)
        this->waits_until = now + this->patience();
    this->is_started = true;
    this->directory.replace_all(std::move(records));
    this->order = this->directory.in_order(this->failure_domain);
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

std::optional<BoxRecord> ControlSource::relay(Instant now) const
{
    if (this->is_relay(now))
        return {};
    for (auto const& box : this->candidates()) {
        auto const trouble = this->troubles.find(box.name);
        if (trouble == this->troubles.end() || now >= trouble->second.retry_at)
            return box;
    }
    return {};
}

void ControlSource::relay_answered(std::string const& name, Instant vouched, Instant now)
{
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
    this->vouched_at.reset();
    if (now - *this->stale_since > this->oldest())
        this->relay_failed(name, now);
}

void ControlSource::relay_failed(std::string const& name, Instant now)
{
    auto const [position, is_new] = this->troubles.try_emplace(name);
    auto& trouble = position->second;
    if (is_new)
        trouble.since = now;
    trouble.pause = is_new ? first_retry_pause : std::min(trouble.pause * 2, longest_retry_pause);
    trouble.retry_at = now + trouble.pause;
    this->stale_since.reset();
    this->vouched_at.reset();
}

void ControlSource::was_asked(Instant now)
{
    this->asked_at = now;
}

bool ControlSource::reads_store(Instant now) const
{
    if (this->is_relay(now))
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

bool ControlSource::is_relay(Instant now) const
{
    return this->asked_at && now - *this->asked_at <= asked_memory;
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
