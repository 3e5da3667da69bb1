#include <LibTraffic/EndpointView.h>

#include <LibCore/Verify.h>
#include <algorithm>
#include <cmath>

namespace Traffic {

namespace {

constexpr double min_slot_seconds = 0.001;

}

EndpointView::EndpointView(Settings::EndpointSettings const& settings, int box_count)
    : endpoint_settings(settings)
    , boxes(box_count)
    , reported_slots(settings.slots)
    , current_window(settings.slots)
{
}

void EndpointView::set_settings(Settings::EndpointSettings const& settings, int box_count)
{
    this->boxes = box_count;
    if (settings.slots != this->endpoint_settings.slots) {
        this->reported_slots = settings.slots;
        this->current_window = settings.slots;
    }
    this->endpoint_settings = settings;
}

void EndpointView::request_started(Instant now)
{
    ++this->own_running_count;
    this->changes.push_back({ now, this->own_running_count });
    this->drop_changes_before(now - report_lifetime);
}

void EndpointView::request_ended(Instant now)
{
    VERIFY(this->own_running_count > 0);
    --this->own_running_count;
    this->changes.push_back({ now, this->own_running_count });
}

void EndpointView::apply_report(LoadReport const& report, Instant now)
{
    if (this->has_report && report.measured_at < this->last_report.measured_at)
        return;
    this->last_report = report;
    this->has_report = true;
    this->is_leaving = report.leaving;
    if (report.slots != this->reported_slots) {
        this->reported_slots = report.slots;
        this->current_window = report.slots;
    }
    this->mean_peers_running.add(this->peers_at_report());
    this->drop_changes_before(std::max(report.measured_at, now - report_lifetime));
}

void EndpointView::observe_first_token(double ratio)
{
    this->first_token_ratio.add(ratio);
    if (ratio > congested_ratio)
        this->current_window = std::max(1.0, this->current_window * window_decrease);
    else
        this->current_window
            = std::min(static_cast<double>(this->reported_slots), this->current_window + window_increase);
}

void EndpointView::add_prefix(std::uint64_t prefix_hash)
{
    if (prefix_hash == 0)
        return;
    if (auto const found = this->prefixes.find(prefix_hash); found != this->prefixes.end()) {
        this->prefix_order.splice(this->prefix_order.begin(), this->prefix_order, found->second);
        return;
    }
    this->prefix_order.push_front(prefix_hash);
    this->prefixes.emplace(prefix_hash, this->prefix_order.begin());
    if (this->prefixes.size() <= max_prefixes)
        return;
    this->prefixes.erase(this->prefix_order.back());
    this->prefix_order.pop_back();
}

bool EndpointView::accepts_work(Instant now) const
{
    return !this->is_leaving && this->health.accepts_work(now, this->own_running_count);
}

int EndpointView::own_running_at(Instant at) const
{
    auto const after = std::ranges::upper_bound(this->changes, at, {}, &OwnChange::at);
    if (after == this->changes.begin())
        return this->changes.empty() ? this->own_running_count : 0;
    return std::prev(after)->running_after;
}

void EndpointView::drop_changes_before(Instant at)
{
    // NOTE: The last change before `at` is kept, because it holds the number that was running at `at`.
    while (this->changes.size() > 1 && this->changes[1].at <= at)
        this->changes.pop_front();
}

double EndpointView::peers_at_report() const
{
    auto const reported = this->last_report.running + this->last_report.queued;
    return std::max(0, reported - this->own_running_at(this->last_report.measured_at));
}

double EndpointView::estimated_running(Instant now, bool assumes_peer_growth) const
{
    bool const report_is_usable = this->has_report && now - this->last_report.measured_at <= report_lifetime;
    if (!report_is_usable)
        return static_cast<double>(this->own_running_count) * this->boxes;
    auto const own_then = this->own_running_at(this->last_report.measured_at);
    auto const age = Core::to_seconds(now - this->last_report.measured_at);
    auto const decay = std::exp(-age / std::max(min_slot_seconds, this->slot_seconds.value()));
    auto const mean_peers = this->mean_peers_running.value();
    auto const peers_now = mean_peers + (this->peers_at_report() - mean_peers) * decay;
    auto const own_growth = std::max(0, this->own_running_count - own_then);
    auto const peers_growth = assumes_peer_growth ? own_growth * (this->boxes - 1) : 0;
    return peers_now + peers_growth + this->own_running_count;
}

bool EndpointView::has_capacity(WindowLimit const& limit, Instant now) const
{
    if (limit.share <= 0)
        return false;
    // NOTE: At least one request fits, or a small endpoint would never serve the lower tiers.
    auto const max_running = std::max(1.0, this->current_window * limit.share) + limit.extra_requests;
    return this->estimated_running(now, limit.assumes_peer_growth) + 1 <= max_running;
}

}
