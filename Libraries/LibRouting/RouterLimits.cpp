// Whether RequestRouter may send to an endpoint at this moment: what endpoints say of themselves in answers and
// notices, and the limits that all boxes share.

#include <LibRouting/RequestRouter.h>

#include <algorithm>

namespace Routing {

namespace {

/// A visitor made of one function for each alternative.
template <typename... Functions> struct Visitor : Functions... {
    using Functions::operator()...;
};
template <typename... Functions> Visitor(Functions...) -> Visitor<Functions...>;

}

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

EndpointRoom RequestRouter::room_at(KnownEndpoint const& endpoint, Instant now) const
{
    EndpointRoom room { endpoint.record.incarnation, endpoint.record.slots };
    if (auto const load = this->loads.find(endpoint.id); load != this->loads.end()) {
        room.running = load->second.running(now);
        room.own_running = load->second.own_running();
    }
    if (auto const known = this->slot_times.find(endpoint.record.service); known != this->slot_times.end())
        room.slot_time = known->second.learnt().value_or(room.slot_time);
    return room;
}

EndpointRoom RequestRouter::room_without_one(KnownEndpoint const& endpoint, Instant now) const
{
    auto room = this->room_at(endpoint, now);
    room.own_running -= std::min<std::size_t>(room.own_running, 1);
    room.running = std::max(0.0, room.running - 1);
    return room;
}

RequestRouter::BrittleSend RequestRouter::brittle_send(
    KnownEndpoint const& endpoint, EndpointRoom const& room, Instant now)
{
    auto const& boxes = this->notices.box_group();
    if (!this->brittle.is_brittle(endpoint.record.service))
        return UnboundSend {};
    if (this->brittle.is_paused(endpoint.id, now))
        return NoSend {};
    if (this->brittle.has_own_slot(endpoint.id, room, boxes, now))
        return OwnSlotSend {};
    if (this->brittle.has_room_for_all(endpoint.id, endpoint.record.service, room, now))
        return UnboundSend {};
    if (room.running >= room.slots)
        return NoSend {};
    auto const per_second = this->brittle.limit_of(endpoint.id, endpoint.record.service, room, now);
    return LimitedSend { { per_second, endpoint.record.incarnation, boxes, this->shared_time(now) } };
}

bool RequestRouter::may_send_to_brittle(
    KnownEndpoint const& endpoint, EndpointRoom const& room, SendPriority rank, Instant now)
{
    return std::visit(
        Visitor {
            [](UnboundSend) { return true; },
            [](OwnSlotSend) { return true; },
            [&](LimitedSend const& send) { return this->brittle.may_send(endpoint.id, send.limit, rank); },
            [](NoSend) { return false; },
        },
        this->brittle_send(endpoint, room, now));
}

bool RequestRouter::count_send_to_brittle(KnownEndpoint const& endpoint, Instant now)
{
    return std::visit(Visitor {
                          [](UnboundSend) { return false; },
                          [](OwnSlotSend) { return true; },
                          [&](LimitedSend const& send) {
                              this->brittle.count_send(endpoint.id, send.limit);
                              return true;
                          },
                          [](NoSend) { return false; },
                      },
        this->brittle_send(endpoint, this->room_at(endpoint, now), now));
}

std::optional<BrittlePlacement> RequestRouter::brittle_placement(KnownEndpoint const& endpoint, Instant now)
{
    if (!this->brittle.is_brittle(endpoint.record.service))
        return {};
    auto const room = this->room_at(endpoint, now);
    return BrittlePlacement { room.own_running,
        this->brittle.has_own_slot(endpoint.id, room, this->notices.box_group(), now),
        this->brittle.limit_of(endpoint.id, endpoint.record.service, room, now) };
}

std::optional<double> RequestRouter::brittle_limit_of(EndpointId id, Instant now) const
{
    auto const* const endpoint = this->directory.find(id);
    if (endpoint == nullptr || !this->brittle.is_brittle(endpoint->record.service))
        return {};
    return this->brittle.limit_of(id, endpoint->record.service, this->room_at(*endpoint, now), now);
}

bool RequestRouter::may_send_now(KnownEndpoint const& endpoint, EndpointRoom const& room,
    std::optional<double> limit_if_cold, SendPriority rank, Instant now)
{
    auto const shared_now = this->shared_time(now);
    if (!this->notices.may_send(endpoint.id, rank, shared_now))
        return false;
    if (!this->may_send_to_brittle(endpoint, room, rank, now))
        return false;
    if (!limit_if_cold)
        return true;
    auto const limit = this->shared_limit(*limit_if_cold, endpoint.record.incarnation, shared_now);
    return this->cold.may_send(endpoint.id, limit, rank, now);
}

bool RequestRouter::count_send(KnownEndpoint const& endpoint, std::optional<double> limit_if_cold, Instant now)
{
    auto const shared_now = this->shared_time(now);
    bool is_counted = this->notices.count_send(endpoint.id, shared_now);
    is_counted |= this->count_send_to_brittle(endpoint, now);
    if (!limit_if_cold)
        return is_counted;
    auto const limit = this->shared_limit(*limit_if_cold, endpoint.record.incarnation, shared_now);
    is_counted |= this->cold.count_send(endpoint.id, limit, now);
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
    auto const& endpoint = *this->directory.find(id);
    if (!this->may_send_now(
            endpoint, this->room_without_one(endpoint, now), placed.cold_limit, SendPriority::High, now))
        return false;
    static_cast<void>(this->count_send(endpoint, placed.cold_limit, now));
    return true;
}

void RequestRouter::set_boxes(BoxGroup boxes)
{
    std::scoped_lock const guard(this->endpoints_lock);
    this->notices.set_boxes(std::move(boxes));
    this->brittle.forget_own_slots();
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
    this->brittle.apply_answer(placed.endpoint.service, report.max_rejections, now);
    std::optional<EndpointRejection> rejection;
    if (report.max_rejections && !report.took_request) {
        this->brittle.count_own_rejection(id, now);
        static_cast<void>(this->brittle.rejected(id, *report.max_rejections, now));
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
    if (known == nullptr)
        return false;
    this->brittle.note_service(known->record.service, rejection.max_rejections, rejection.at);
    return this->brittle.rejected(known->id, rejection.max_rejections, rejection.at);
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
