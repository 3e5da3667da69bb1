#pragma once

#include <LibRouting/EndpointNotices.h>
#include <algorithm>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <variant>

/// Simulates, in virtual time, boxes that have more requests for an endpoint than its rate limit allows. Boxes restart,
/// fail and have clocks that jump.
namespace RateLimitPlay {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Strategies of a box for an endpoint's limit.

/// Sends as if there were no limit.
struct IgnoredLimit { };
/// Each box sends an equal share of the limit at any time.
struct EqualShares { };
/// A few fixed boxes share the limit.
struct FewBoxes { };
/// Boxes use the common schedule of slots.
struct SlotSchedule { };
using Strategy = std::variant<IgnoredLimit, EqualShares, FewBoxes, SlotSchedule>;

struct Scenario {
    std::size_t boxes { 6 };
    double limit_per_second { 1 };
    /// Requests per second that each box would send to the endpoint.
    double demand_of_box { 5 };
    Strategy strategy { SlotSchedule {} };
    std::uint64_t seed { 1 };
};

struct Result {
    /// The most requests in any window, starting some seconds after the endpoint reported its limit.
    std::size_t most_in_window { 0 };
    /// Fraction of the limit that was used before any disruption.
    double used { 0 };
    /// Fraction of the limit that was used after a tenth of the boxes failed.
    double used_after_loss { 0 };

    bool operator==(Result const&) const = default;
};

inline constexpr Duration window { seconds(4) };
inline constexpr Duration judged_from { seconds(4) };
inline constexpr Duration calm_until { seconds(24) };
inline constexpr Duration loss_at { seconds(28) };
inline constexpr Duration clocks_step_at { seconds(34) };
inline constexpr Duration clocks_are_back_at { seconds(40) };
inline constexpr Duration duration { seconds(48) };
inline constexpr EndpointId endpoint_id { 1 };

/// The most requests that may reach the endpoint in a window.
inline std::size_t allowed(double limit_per_second)
{
    return static_cast<std::size_t>(1.5 * limit_per_second * Core::to_seconds(window) + 5);
}

/// A token bucket that holds one token.
class Bucket {
public:
    [[nodiscard]] bool take(double per_second, Instant now)
    {
        this->tokens = std::min(1.0, this->tokens + per_second * Core::to_seconds(now - this->filled_at));
        this->filled_at = now;
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double tokens { 0 };
    Instant filled_at;
};

struct Box {
    EndpointNotices notices;
    Bucket bucket;
    bool is_gone { false };
    Duration clock_ahead { 0 };
};

class Simulation {
public:
    explicit Simulation(Scenario const& scenario)
        : scenario(scenario)
        , random(scenario.seed)
    {
        for (std::size_t number = 0; number < this->scenario.boxes; ++number)
            this->names.push_back("box-" + std::to_string(number));
        this->boxes.resize(this->scenario.boxes);
        for (std::size_t number = 0; number < this->scenario.boxes; ++number) {
            this->boxes[number].notices.set_boxes(BoxGroup(this->names[number], this->names));
            this->schedule_request(number, start);
        }
        this->schedule_disruptions();
        this->at(start, [this] { this->gossip(); });
    }

    [[nodiscard]] Result run()
    {
        while (!this->events.empty() && this->events.top().at <= start + duration) {
            auto const event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.act();
        }
        return { this->most_in_window(), this->used_share(judged_from, calm_until),
            this->used_share(loss_at, duration) };
    }

private:
    struct Event {
        Instant at;
        std::uint64_t number;
        std::function<void()> act;

        bool operator<(Event const& other) const
        {
            return std::pair(this->at, this->number) > std::pair(other.at, other.number);
        }
    };

    void at(Instant moment, std::function<void()> act)
    {
        this->events.push({ moment, this->next_event++, std::move(act) });
    }

    [[nodiscard]] double drawn() { return std::ldexp(static_cast<double>(this->random()), -32); }

    void schedule_request(std::size_t number, Instant from)
    {
        auto const pause = Core::from_seconds(-std::log(1 - this->drawn()) / this->scenario.demand_of_box);
        this->at(from + pause, [this, number] {
            if (!this->boxes[number].is_gone)
                this->request(number);
            this->schedule_request(number, this->now);
        });
    }

    void request(std::size_t number)
    {
        auto& box = this->boxes[number];
        if (!this->may_send(number, box))
            return;
        this->arrivals.push_back(this->now);
        auto const sent_at = this->now;
        this->at(this->now + milliseconds(100), [this, number, sent_at] {
            auto const changed = this->boxes[number].notices.apply_answer(
                endpoint_id, { "e1", 0 }, { { this->scenario.limit_per_second }, false }, sent_at, this->now);
            if (changed)
                this->broadcast(number, *changed);
        });
    }

    [[nodiscard]] bool may_send(std::size_t number, Box& box)
    {
        auto const shared = static_cast<SharedMicroseconds>((this->now.time_since_epoch() + box.clock_ahead).count());
        bool const knows_limit = box.notices.limit_of(endpoint_id).per_second.has_value();
        if (!knows_limit || std::holds_alternative<IgnoredLimit>(this->scenario.strategy))
            return true;
        auto const count = static_cast<double>(this->scenario.boxes);
        if (std::holds_alternative<EqualShares>(this->scenario.strategy))
            return box.bucket.take(this->scenario.limit_per_second / count, this->now);
        if (std::holds_alternative<FewBoxes>(this->scenario.strategy)) {
            auto const few = std::clamp(this->scenario.limit_per_second / 2, 1.0, count);
            return static_cast<double>(number) < std::floor(few)
                && box.bucket.take(this->scenario.limit_per_second / std::floor(few), this->now);
        }
        return box.notices.may_send(endpoint_id, SendPriority::High, shared)
            && box.notices.count_send(endpoint_id, shared);
    }

    void send(std::size_t to, EndpointNotice const& notice)
    {
        constexpr double lost = 0.1;
        if (this->drawn() < lost)
            return;
        this->at(this->now + milliseconds(5),
            [this, to, notice] { static_cast<void>(this->boxes[to].notices.apply(endpoint_id, notice, this->now)); });
    }

    void broadcast(std::size_t from, EndpointNotice const& notice)
    {
        for (std::size_t to = 0; to < this->boxes.size(); ++to) {
            if (to != from)
                this->send(to, notice);
        }
    }

    /// Each box sends its notices to three others each second.
    void gossip()
    {
        for (auto const& box : this->boxes) {
            for (auto const& notice : box.notices.active(this->now)) {
                for (int times = 0; times < 3; ++times)
                    this->send(this->random(static_cast<std::uint32_t>(this->boxes.size())), notice);
            }
        }
        this->at(this->now + seconds(1), [this] { this->gossip(); });
    }

    /// A fifth of the boxes restart, a tenth fail permanently while they are still listed, and the clocks of some jump
    /// by two seconds for a while.
    void schedule_disruptions()
    {
        for (std::size_t number = 0; number < this->boxes.size(); ++number) {
            auto const drawn = this->drawn();
            if (drawn < 0.2)
                this->at(start + calm_until, [this, number] { this->restart(number); });
            else if (drawn < 0.3 && this->boxes.size() > 1)
                this->at(start + loss_at, [this, number] { this->boxes[number].is_gone = true; });
            else if (drawn < 0.6) {
                this->at(start + clocks_step_at, [this, number] { this->boxes[number].clock_ahead = seconds(2); });
                this->at(start + clocks_are_back_at, [this, number] { this->boxes[number].clock_ahead = {}; });
            }
        }
    }

    /// The box gets the notices of three others before it accepts requests.
    void restart(std::size_t number)
    {
        this->boxes[number] = Box {};
        this->boxes[number].notices.set_boxes(BoxGroup(this->names[number], this->names));
        for (int times = 0; times < 3; ++times) {
            auto const& asked = this->boxes[this->random(static_cast<std::uint32_t>(this->boxes.size()))];
            for (auto const& notice : asked.notices.active(this->now))
                this->send(number, notice);
        }
    }

    [[nodiscard]] std::size_t most_in_window() const
    {
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(this->arrivals, start + judged_from); first != this->arrivals.end();
             ++first) {
            auto const end = std::lower_bound(first, this->arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    [[nodiscard]] double used_share(Duration from, Duration until) const
    {
        auto const first = std::ranges::lower_bound(this->arrivals, start + from);
        auto const end = std::ranges::lower_bound(this->arrivals, start + until);
        return static_cast<double>(end - first) / (Core::to_seconds(until - from) * this->scenario.limit_per_second);
    }

    static constexpr Instant start = Instant {} + seconds(1000);

    Scenario scenario;
    pcg32 random;
    std::vector<std::string> names;
    std::vector<Box> boxes;
    std::vector<Instant> arrivals;
    std::priority_queue<Event> events;
    std::uint64_t next_event { 0 };
    Instant now;
};

}
