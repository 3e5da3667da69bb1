#pragma once

#include <LibTraffic/TrafficEngine.h>

/// A pool of a given size at three quarters of its capacity, to benchmark the decision path.
class DecisionPath {
public:
    DecisionPath(std::uint32_t endpoints, std::uint32_t accounts)
        : accounts(accounts)
        , engine(policy_for(endpoints, accounts), 1)
    {
        constexpr std::uint32_t slots = 8;
        for (std::uint32_t request = 0; request < endpoints * slots * 3 / 4; ++request)
            this->admit();
    }

    /// Submits one request, and ends the oldest running one after its first token.
    void step()
    {
        this->now += std::chrono::microseconds(50);
        this->admit();
        auto const oldest = this->running.front();
        this->running.pop_front();
        this->engine.observe_first_token(oldest, this->now);
        this->apply_actions(this->engine.finish(oldest, { Traffic::AttemptResult::Completed }, this->now));
    }

    /// The periodic work of a box, done every few milliseconds.
    void tick() { this->apply_actions(this->engine.tick(this->now)); }

private:
    static Traffic::PoolPolicy policy_for(std::uint32_t endpoint_count, std::uint32_t account_count)
    {
        Traffic::PoolPolicy policy;
        for (std::uint32_t tier = 0; tier < 3; ++tier) {
            Settings::ClassSettings settings;
            settings.tier = Core::TierId { tier };
            settings.target = std::chrono::seconds(1 + tier * 10);
            settings.patience = std::chrono::seconds(60);
            settings.floor = tier == 0 ? 0 : 0.05;
            policy.classes.emplace(Core::ClassId { tier }, settings);
        }
        for (std::uint32_t account = 0; account < account_count; ++account)
            policy.account_weights.emplace(Core::AccountId { account }, 1);
        for (std::uint32_t endpoint = 0; endpoint < endpoint_count; ++endpoint) {
            Settings::EndpointSettings settings;
            settings.slots = 8;
            policy.endpoints.emplace(Core::EndpointId { endpoint }, settings);
        }
        return policy;
    }

    void admit()
    {
        ++this->next_id;
        Traffic::RequestFacts const facts { Core::RequestId { this->next_id },
            Core::ClassId { static_cast<std::uint32_t>(this->next_id % 3) },
            Core::AccountId { static_cast<std::uint32_t>(this->next_id * 7919 % this->accounts) }, this->now,
            this->next_id % 97, false };
        this->apply_actions(this->engine.submit(facts, this->now));
    }

    void apply_actions(Traffic::Actions const& actions)
    {
        for (auto const& action : actions) {
            if (auto const* dispatch = std::get_if<Traffic::Dispatch>(&action))
                this->running.push_back(dispatch->request);
        }
    }

    std::uint32_t accounts;
    Traffic::TrafficEngine engine;
    Traffic::Instant now { std::chrono::seconds(1000) };
    std::uint64_t next_id { 0 };
    std::deque<Core::RequestId> running;
};
