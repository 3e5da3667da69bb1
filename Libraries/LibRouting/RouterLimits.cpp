// Whether RequestRouter may send to an endpoint at this moment: what endpoints say of themselves in answers and
// notices, and the limits that all boxes share.

#include <LibRouting/RequestRouter.h>

namespace Routing {

std::optional<double> RequestRouter::cold_limit_of(Admitted const& request) const
{
    auto const* const service = request.configuration->find_service(request.service);
    if (service == nullptr || !service->cold_rate)
        return {};
    return cold_limit(*service->cold_rate, this->settings.cold);
}

SharedLimit RequestRouter::shared_limit(
    double per_second, std::string_view endpoint, SharedMicroseconds shared_now) const
{
    return { per_second, endpoint, this->notices.box_group(), shared_now };
}

std::optional<SharedLimit> RequestRouter::brittle_limit(EndpointId id, Instant now) const
{
    auto const per_second = this->brittle.limit_of(id, now);
    if (!per_second)
        return {};
    return this->shared_limit(*per_second, this->directory.find(id)->record.incarnation, this->shared_time(now));
}

std::optional<BrittlePlacement> RequestRouter::brittle_placement(KnownEndpoint const& endpoint, Instant now) const
{
    if (!this->brittle.is_brittle(endpoint.id, endpoint.record.service))
        return {};
    auto const load = this->loads.find(endpoint.id);
    return BrittlePlacement { load == this->loads.end() ? 0 : load->second.own_running(),
        this->brittle.limit_of(endpoint.id, now) };
}

bool RequestRouter::may_be_overrun(Admitted const& request, KnownEndpoint const& endpoint, Instant now) const
{
    if (!this->brittle.is_brittle(endpoint.id, endpoint.record.service))
        return false;
    auto const load = this->loads.find(endpoint.id);
    if (load == this->loads.end())
        return false;
    // NOTE: A plain service ends requests faster than boxes report them to each other.
    auto const running
        = request.is_engine ? load->second.running(now) : static_cast<double>(load->second.own_running());
    return running >= endpoint.record.slots;
}

bool RequestRouter::may_send_now(EndpointId id, std::optional<double> limit_if_cold, SendPriority rank, Instant now)
{
    auto const shared_now = this->shared_time(now);
    if (!this->notices.may_send(id, rank, shared_now))
        return false;
    if (this->brittle.is_paused(id, this->notices.box_group().size(), now))
        return false;
    if (auto const limit = this->brittle_limit(id, now); limit && !this->brittle.may_send(id, *limit, rank))
        return false;
    if (!limit_if_cold)
        return true;
    auto const limit = this->shared_limit(*limit_if_cold, this->directory.find(id)->record.incarnation, shared_now);
    return this->cold.may_send(id, limit, rank, now);
}

bool RequestRouter::count_send(EndpointId id, std::optional<double> limit_if_cold, Instant now)
{
    auto const shared_now = this->shared_time(now);
    bool is_counted = this->notices.count_send(id, shared_now);
    if (auto const limit = this->brittle_limit(id, now)) {
        this->brittle.count_send(id, *limit);
        is_counted = true;
    }
    if (!limit_if_cold)
        return is_counted;
    auto const limit = this->shared_limit(*limit_if_cold, this->directory.find(id)->record.incarnation, shared_now);
    is_counted |= this->cold.count_send(id, limit, now);
    return is_counted;
}

SharedMicroseconds RequestRouter::shared_time(Instant now) const
{
    return static_cast<SharedMicroseconds>((now.time_since_epoch() + this->shared_clock_ahead).count());
}

bool RequestRouter::may_send(Placed const& placed, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const id = placed.choice.endpoint;
    if (!this->is_usable(id, now) || this->backoffs.is_backed_off(id, now))
        return false;
    if (placed.is_counted_by_limit)
        return true;
    if (!this->may_send_now(id, placed.cold_limit, SendPriority::High, now))
        return false;
    static_cast<void>(this->count_send(id, placed.cold_limit, now));
    return true;
}

void RequestRouter::set_boxes(BoxGroup boxes)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.set_boxes(std::move(boxes));
}

void RequestRouter::set_shared_clock(Duration ahead)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->shared_clock_ahead = ahead;
}

RequestRouter::ReportEffect RequestRouter::record_answer(
    Placed const& placed, EndpointReport const& report, Instant sent_at, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const id = placed.choice.endpoint;
    // NOTE: An answer may arrive after its endpoint was removed, whose state must not be created again.
    if (this->directory.find(id) == nullptr)
        return {};
    if (report.took_request)
        this->backoffs.request_accepted(id, sent_at);
    this->brittle.apply_answer(id, placed.endpoint.service, report.max_rejections);
    std::optional<EndpointRejection> rejection;
    if (report.max_rejections && !report.took_request) {
        this->brittle.count_own_rejection(id, now);
        if (this->brittle.rejected(id, *report.max_rejections, now))
            rejection = { instance_of(placed.endpoint), *report.max_rejections, now };
    }
    bool const backoff_began = report.backoff && this->backoffs.start(id, *report.backoff, now);
    EndpointCondition const reported { report.limit.value_or(this->notices.limit_of(id)), report.is_draining };
    return { this->notices.apply_answer(id, instance_of(placed.endpoint), reported, sent_at, now), backoff_began,
        rejection };
}

bool RequestRouter::apply_rejection(EndpointRejection const& rejection)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(rejection.endpoint.incarnation);
    return known != nullptr && this->brittle.rejected(known->id, rejection.max_rejections, rejection.at);
}

bool RequestRouter::apply_notice(EndpointNotice const& notice, Instant now)
{
    std::scoped_lock const guard(this->endpoints_lock);
    auto const* const known = this->directory.find(notice.endpoint.incarnation);
    if (known == nullptr)
        return false;
    auto const started_at = known->record.started_at;
    bool const is_other_instance
        = started_at != 0 && notice.endpoint.started_at != 0 && started_at != notice.endpoint.started_at;
    bool const is_of_earlier_process
        = known->predecessor_removed_at && notice.reported_at <= *known->predecessor_removed_at;
    return !is_other_instance && !is_of_earlier_process && this->notices.apply(known->id, notice, now);
}

std::vector<EndpointNotice> RequestRouter::active_notices(Instant now) const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.active(now);
}

std::size_t RequestRouter::limited_endpoints() const
{
    std::scoped_lock const guard(this->endpoints_lock);
    return this->notices.limited_count();
}

}
