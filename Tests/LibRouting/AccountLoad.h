#pragma once

#include <LibRouting/RequestRouter.h>

#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <random>

namespace Routing {

/// Several boxes and engines in virtual time under the load of 24 client accounts.
///
/// An engine reads prompts one after another, the more urgent first. Clients that are refused try again once, after the
/// time that the box named.
class AccountLoad {
public:
    static constexpr std::size_t account_count = 24;

    /// Requests of one kind.
    struct Kind {
        std::string path;
        unsigned priority { 0 };
        Duration goal { 0 };
        std::uint32_t prompt_tokens { 0 };
        std::uint32_t answer_tokens { 0 };
        /// Part of all requests.
        double share { 0 };
    };
    struct Settings {
        std::size_t boxes { 6 };
        std::size_t engines { 8 };
        double prompt_tokens_per_millisecond { 66.2 };
        std::vector<Kind> kinds;
        /// Usual load of an account, relative to that of the others.
        std::vector<double> weights = std::vector<double>(account_count, 1);
        /// Demand of all accounts together, as a fraction of what the engines can read.
        double demand { 1.2 };
        /// Account 0 sends this many times its usual load from `flood_start` on.
        double flood { 1 };
        /// Priority of the flood's requests; unset for the usual mix.
        std::optional<unsigned> flood_priority {};
        Duration flood_start { std::chrono::seconds(10) };
        Duration length { std::chrono::seconds(30) };
        Duration report_interval { std::chrono::milliseconds(100) };
        /// Fraction of the load reports that is lost.
        double lost_reports { 0 };
        /// Whether accounts are counted: with a single configured account they are not.
        bool has_shares { true };
        std::uint64_t seed { 1 };
    };
    struct Count {
        std::size_t requested { 0 };
        std::size_t served { 0 };
        /// Answers that began within the goal.
        std::size_t in_time { 0 };
        std::size_t refused_for_share { 0 };

        [[nodiscard]] double served_share() const
        {
            return static_cast<double>(this->served) / static_cast<double>(std::max<std::size_t>(1, this->requested));
        }
    };

    explicit AccountLoad(Settings settings)
        : settings(std::move(settings))
        , random(this->settings.seed)
        , queues(this->settings.engines)
        , is_reading(this->settings.engines, false)
    {
        auto const configuration = std::make_shared<ConfigurationSnapshot const>(this->configuration());
        for (std::size_t index = 0; index < this->settings.boxes; ++index) {
            auto& box = this->routers.emplace_back(
                std::make_unique<RequestRouter>(RouterSettings { "hall", {}, {}, {} }, this->random()));
            box->offer_configuration(configuration, this->now);
            box->set_report_interval(this->settings.report_interval);
            for (std::size_t engine = 0; engine < this->settings.engines; ++engine)
                box->put_endpoint(
                    { std::to_string(engine), "pool", { "10.0.0.1", 80 }, "hall", 256, false }, this->now);
        }
    }

    /// Runs the whole time. Requests are counted from the start of the flood on.
    void run()
    {
        auto const end = this->now + this->settings.length;
        this->flood_at = this->now + this->settings.flood_start;
        for (std::size_t account = 0; account < account_count; ++account)
            this->plan_arrival(account, end);
        for (std::size_t box = 0; box < this->routers.size(); ++box)
            this->plan_report(box, end);
        while (!this->events.empty()) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
    }

    [[nodiscard]] Count sum(std::function<bool(std::size_t account, std::string const& path)> const& is_counted) const
    {
        Count sum;
        for (auto const& [key, count] : this->counts) {
            if (!is_counted(key.first, key.second))
                continue;
            sum.requested += count.requested;
            sum.served += count.served;
            sum.in_time += count.in_time;
            sum.refused_for_share += count.refused_for_share;
        }
        return sum;
    }
    [[nodiscard]] Count all() const
    {
        return this->sum([](std::size_t, std::string const&) { return true; });
    }
    [[nodiscard]] Count of_path(std::string const& wanted) const
    {
        return this->sum([&](std::size_t, std::string const& path) { return path == wanted; });
    }
    [[nodiscard]] Count others() const
    {
        return this->sum([](std::size_t account, std::string const&) { return account != 0; });
    }
    [[nodiscard]] Count flooder() const
    {
        return this->sum([](std::size_t account, std::string const&) { return account == 0; });
    }
    /// Prompt tokens that the engines read.
    [[nodiscard]] double tokens_read() const { return this->read_tokens; }

private:
    struct Waiting {
        std::size_t box { 0 };
        Admitted admitted;
        PlacementChoice choice;
        Kind const* kind { nullptr };
        std::size_t account { 0 };
        Instant arrived;
        Instant placed;
    };

    [[nodiscard]] Configuration configuration() const
    {
        Configuration contents;
        contents.version = 1;
        contents.accounts.emplace();
        for (std::size_t account = 0; account < account_count; ++account) {
            auto const name = std::to_string(account);
            if (this->settings.has_shares)
                contents.accounts->push_back({ "account-" + name, { "key-" + name }, {} });
        }
        if (!this->settings.has_shares) {
            contents.accounts->push_back({ "all", {}, {} });
            for (std::size_t account = 0; account < account_count; ++account)
                contents.accounts->back().api_keys.push_back("key-" + std::to_string(account));
        }
        for (auto const& kind : this->settings.kinds) {
            Route route;
            route.name = kind.path;
            route.host = "h";
            route.path_prefix = kind.path;
            route.kind = RouteKind::Streaming;
            route.timeout = std::chrono::seconds(10);
            route.goal = kind.goal;
            route.priority = kind.priority;
            route.services = { { "pool", 1 } };
            contents.routes.push_back(route);
        }
        contents.services = { { "pool", 96, EngineTraits { 256, 300'000, 8 } } };
        return contents;
    }

    [[nodiscard]] double drawn() { return std::ldexp(static_cast<double>(this->random()), -32); }

    [[nodiscard]] double requests_per_second(std::size_t account) const
    {
        double weights = 0;
        for (auto const weight : this->settings.weights)
            weights += weight;
        double tokens = 0;
        for (auto const& kind : this->settings.kinds)
            tokens += kind.share * kind.prompt_tokens;
        auto const capacity = static_cast<double>(this->settings.engines) * this->settings.prompt_tokens_per_millisecond
            * 1000 / tokens;
        bool const floods = account == 0 && this->now >= this->flood_at;
        return capacity * this->settings.demand * this->settings.weights[account] / weights
            * (floods ? this->settings.flood : 1);
    }

    [[nodiscard]] Kind const& draw_kind(std::size_t account)
    {
        bool const floods = account == 0 && this->now >= this->flood_at && this->settings.flood > 1;
        auto left = this->drawn();
        for (auto const& kind : this->settings.kinds) {
            if (floods && this->settings.flood_priority) {
                if (kind.priority == *this->settings.flood_priority)
                    return kind;
                continue;
            }
            left -= kind.share;
            if (left <= 0)
                return kind;
        }
        return this->settings.kinds.back();
    }

    void plan_arrival(std::size_t account, Instant end)
    {
        auto const gap = -std::log(1 - this->drawn()) / this->requests_per_second(account);
        auto const at = this->now + Core::from_seconds(std::min(gap, 1.0));
        if (at >= end)
            return;
        this->events.emplace(at, [this, account, end, is_arrival = gap <= 1.0] {
            if (is_arrival) {
                auto const& kind = this->draw_kind(account);
                if (this->now >= this->flood_at)
                    ++this->counts[{ account, kind.path }].requested;
                this->request(account, kind, this->now, 1);
            }
            this->plan_arrival(account, end);
        });
    }

    void plan_report(std::size_t box, Instant end)
    {
        auto const at = this->now
            + Core::from_seconds(Core::to_seconds(this->settings.report_interval) * (0.9 + this->drawn() / 5));
        if (at >= end)
            return;
        this->events.emplace(at, [this, box, end] {
            auto const report = this->routers[box]->load_report(this->now);
            for (std::size_t other = 0; other < this->routers.size(); ++other) {
                if (other != box && this->drawn() >= this->settings.lost_reports)
                    this->routers[other]->apply_load_report(box + 1, report, this->now);
            }
            this->plan_report(box, end);
        });
    }

    void request(std::size_t account, Kind const& kind, Instant arrived, unsigned retries)
    {
        auto const box = this->random(static_cast<std::uint32_t>(this->routers.size()));
        auto& router = *this->routers[box];
        Workload const workload { { { this->next_part++, kind.prompt_tokens } }, kind.prompt_tokens,
            kind.answer_tokens };
        RequestHead const head { "attempt", "h", kind.path, "key-" + std::to_string(account), std::chrono::seconds(10),
            workload };
        auto const admitted = std::get<Admitted>(router.admit(head, this->now));
        auto const decision = router.place(admitted, workload, {}, this->now);
        auto& count = this->counts[{ account, kind.path }];
        bool const is_counted = arrived >= this->flood_at;
        if (auto const* const rejected = std::get_if<Rejected>(&decision)) {
            count.refused_for_share += is_counted && rejected->reason == Reason::AccountOverShare ? 1 : 0;
            if (retries > 0)
                this->events.emplace(this->now + *rejected->retry_after,
                    [this, account, &kind, arrived, retries] { this->request(account, kind, arrived, retries - 1); });
            return;
        }
        auto const& choice = std::get<Placed>(decision).choice;
        router.attempt_started(admitted, workload, choice, this->now);
        auto const engine = std::stoul(std::get<Placed>(decision).endpoint.incarnation);
        this->queues[engine].emplace(
            kind.priority, Waiting { box, admitted, choice, &kind, account, arrived, this->now });
        this->read_next(engine);
    }

    void read_next(std::size_t engine)
    {
        if (this->is_reading[engine] || this->queues[engine].empty())
            return;
        this->is_reading[engine] = true;
        auto const first = this->queues[engine].begin();
        auto const waiting = first->second;
        this->queues[engine].erase(first);
        auto const reading = waiting.kind->prompt_tokens / this->settings.prompt_tokens_per_millisecond;
        this->read_tokens += waiting.kind->prompt_tokens;
        this->events.emplace(this->now + Core::from_seconds(reading / 1000), [this, engine, waiting] {
            this->is_reading[engine] = false;
            this->answer(engine, waiting);
            this->read_next(engine);
        });
    }

    void answer(std::size_t engine, Waiting const& waiting)
    {
        static_cast<void>(engine);
        auto& router = *this->routers[waiting.box];
        router.attempt_answered(waiting.admitted, waiting.choice, this->now - waiting.placed, this->now);
        if (waiting.arrived >= this->flood_at) {
            auto& count = this->counts[{ waiting.account, waiting.kind->path }];
            ++count.served;
            count.in_time += this->now - waiting.placed <= waiting.kind->goal ? 1 : 0;
        }
        constexpr Duration token_time { std::chrono::milliseconds(4) };
        this->events.emplace(this->now + waiting.kind->answer_tokens * token_time, [this, waiting] {
            this->routers[waiting.box]->attempt_ended(
                waiting.admitted.id, waiting.choice.endpoint, AttemptResult::Completed, this->now);
        });
    }

    Settings settings;
    pcg32 random;
    Instant now { std::chrono::seconds(100) };
    Instant flood_at;
    std::uint64_t next_part { 1 };
    double read_tokens { 0 };
    std::vector<std::unique_ptr<RequestRouter>> routers;
    /// Requests that wait at each engine, by priority.
    std::vector<std::multimap<unsigned, Waiting>> queues;
    std::vector<bool> is_reading;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::pair<std::size_t, std::string>, Count> counts;
};

/// The mix of the first customer: urgent questions, checks and long reviews.
inline std::vector<AccountLoad::Kind> mixed_kinds()
{
    using std::chrono::milliseconds;
    return { { "/questions/", 0, milliseconds(500), 826, 288, 0.25 },
        { "/checks/", 1, milliseconds(1200), 2368, 24, 0.45 }, { "/reviews/", 2, milliseconds(2000), 6610, 384, 0.3 } };
}

}
