#pragma once

#include <LibTraffic/TrafficEngine.h>
#include <map>
#include <pcg_random.hpp>
#include <queue>

/// Runs a traffic engine in virtual time against simulated endpoints with random answer times.
class VirtualPool {
public:
    struct Options {
        int endpoints { 4 };
        int slots { 4 };
        Settings::PolicyName policy { Settings::PolicyName::Cleatbeam };
        double failure_share { 0 };
        std::uint64_t seed { 1 };
    };
    struct RequestRecord {
        Traffic::RequestFacts facts;
        int dispatches { 0 };
        int preemptions { 0 };
        int ends { 0 };
        std::optional<Traffic::Refuse> refused;
        std::optional<Traffic::Conclude> concluded;
        Traffic::Instant ended_at;
    };

    explicit VirtualPool(Options const& options)
        : options(options)
        , random(options.seed)
        , engine(policy_for(options), options.seed)
    {
    }

    static Settings::ClassSettings make_class(std::uint32_t tier, double target_seconds, double patience_seconds,
        bool repeatable, double floor, bool late_useful)
    {
        Settings::ClassSettings settings;
        settings.tier = Core::TierId { tier };
        settings.target = Core::from_seconds(target_seconds);
        settings.target_kind = Settings::TargetKind::WholeAnswer;
        settings.patience = Core::from_seconds(patience_seconds);
        settings.repeatable = repeatable;
        settings.floor = floor;
        settings.late_answer_useful = late_useful;
        return settings;
    }

    /// Classes: 0 urgent, 1 urgent and non-repeatable, 2 session, 3 background with a floor, 4 session and
    /// non-repeatable.
    static Traffic::PoolPolicy policy_for(Options const& options)
    {
        Traffic::PoolPolicy policy;
        policy.classes.emplace(Core::ClassId { 0 }, make_class(0, 0.5, 2, true, 0, false));
        policy.classes.emplace(Core::ClassId { 1 }, make_class(0, 0.5, 4, false, 0, true));
        policy.classes.emplace(Core::ClassId { 2 }, make_class(1, 2, 10, true, 0, true));
        policy.classes.emplace(Core::ClassId { 3 }, make_class(2, 20, 60, true, 0.05, true));
        policy.classes.emplace(Core::ClassId { 4 }, make_class(1, 2, 10, false, 0, true));
        for (int index = 0; index < options.endpoints; ++index) {
            Settings::EndpointSettings endpoint;
            endpoint.slots = options.slots;
            policy.endpoints.emplace(Core::EndpointId { static_cast<std::uint32_t>(index) }, endpoint);
        }
        policy.routing.policy = options.policy;
        return policy;
    }

    void submit(std::uint32_t request_class, std::uint32_t account, bool streaming = false)
    {
        Core::RequestId const id { ++this->last_id };
        Traffic::RequestFacts const facts { id, Core::ClassId { request_class }, Core::AccountId { account }, this->now,
            0, streaming };
        this->requests[id].facts = facts;
        this->apply_actions(this->engine.submit(facts, this->now));
    }

    /// Advances time in ticks and ends the attempts that are due.
    void run_for(double seconds)
    {
        auto const until = this->now + Core::from_seconds(seconds);
        while (this->now < until) {
            this->now += std::chrono::milliseconds(5);
            while (!this->scheduled_ends.empty() && this->scheduled_ends.top().at <= this->now)
                this->end_next();
            this->apply_actions(this->engine.tick(this->now));
        }
    }

    double mean_seconds { 0.2 };
    Options const options;
    pcg32 random;
    Traffic::TrafficEngine engine;
    Traffic::Instant now { std::chrono::seconds(100) };
    std::map<Core::RequestId, RequestRecord> requests;
    std::map<Core::EndpointId, int> placed_at;

private:
    struct ScheduledEnd {
        Traffic::Instant at;
        Core::RequestId request;
        int dispatch { 0 };
        bool operator<(ScheduledEnd const& other) const { return this->at > other.at; }
    };

    void end_next()
    {
        auto const next = this->scheduled_ends.top();
        this->scheduled_ends.pop();
        if (this->requests[next.request].dispatches != next.dispatch || this->requests[next.request].ends > 0)
            return;
        auto const fails = this->random() < this->options.failure_share * 4294967295.0;
        this->apply_actions(this->engine.finish(
            next.request, { fails ? Traffic::AttemptResult::Failed : Traffic::AttemptResult::Completed }, this->now));
    }

    void apply_actions(Traffic::Actions const& actions)
    {
        for (auto const& action : actions)
            std::visit([this](auto const& chosen) { this->carry_out(chosen); }, action);
    }
    void carry_out(Traffic::Wait const&) { }
    void carry_out(Traffic::Retry const&) { }
    void carry_out(Traffic::Dispatch const& action)
    {
        auto& request = this->requests[action.request];
        ++request.dispatches;
        ++this->placed_at[action.endpoint];
        auto const uniform = (this->random() + 1.0) / 4294967296.0;
        auto const scale = request.facts.request_class.value() == 3 ? 4 : 1;
        this->scheduled_ends.push({ this->now + Core::from_seconds(-std::log(uniform) * this->mean_seconds * scale),
            action.request, request.dispatches });
    }
    void carry_out(Traffic::Preempt const& action)
    {
        ++this->requests[action.request].preemptions;
        this->preempted.push_back(action.request);
        // In production the end of a cancelled attempt is reported a moment later; here it is reported at once.
        this->scheduled_ends.push({ this->now, action.request, -1 });
        this->apply_actions(this->engine.finish(action.request, { Traffic::AttemptResult::Preempted }, this->now));
    }
    void carry_out(Traffic::Refuse const& action)
    {
        ++this->requests[action.request].ends;
        this->requests[action.request].refused = action;
        this->requests[action.request].ended_at = this->now;
    }
    void carry_out(Traffic::Conclude const& action)
    {
        ++this->requests[action.request].ends;
        this->requests[action.request].concluded = action;
        this->requests[action.request].ended_at = this->now;
    }

    std::priority_queue<ScheduledEnd> scheduled_ends;
    std::uint64_t last_id { 0 };

public:
    std::vector<Core::RequestId> preempted;
};
