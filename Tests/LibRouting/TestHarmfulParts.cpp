#include <TestMain.h>

#include <LibRouting/CrashLedger.h>
#include <algorithm>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <variant>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr auto start = Instant {} + minutes(5);
constexpr Duration just_now { 0 };
/// Within this time of a change all boxes must know of it.
constexpr Duration contact { seconds(3) };

CrashSuspects request(std::uint64_t number, std::vector<std::uint64_t> const& parts, std::uint64_t account = 1)
{
    std::vector<PromptPart> prompt;
    prompt.reserve(parts.size() + 1);
    for (auto const part : parts)
        prompt.push_back({ part, 100 });
    prompt.push_back({ number, 10 });
    return suspects_of({ account, number }, "model", prompt);
}

/// Applies a crash of the run to the ledger, as its box sees it.
void crash(CrashLedger& ledger, CrashSuspects const& run, std::string const& endpoint, Instant now)
{
    auto const known = ledger.request_crashes(run, now).known;
    for (auto const& report : CrashLedger::reports_of(run, known, { endpoint, 0 }))
        ledger.apply(report, just_now, now);
}

constexpr std::uint64_t system_prompt = 0xa;
constexpr std::uint64_t harmful_part = 0xbad;

}

TEST_CASE("requests that share only a harmful part are refused, and sound ones with their other parts are not")
{
    CrashLedger ledger;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(ledger, request(number, { system_prompt, harmful_part }), "e" + std::to_string(number),
            start + seconds(number));
    auto const now = start + seconds(3) + milliseconds(100);
    CHECK(ledger.request_crashes(request(9, { system_prompt, harmful_part }), now).refused_for == milliseconds(200));
    CHECK(ledger.request_crashes(request(9, { harmful_part, 0xc }), now).refused_for.has_value() == false);
    auto const sound = ledger.request_crashes(request(9, { system_prompt, 0xc }), now);
    CHECK_FALSE(sound.refused_for);
    CHECK(sound.to_probe.empty());
}

TEST_CASE("a part is blamed alone once its crashes have nothing else in common")
{
    CrashLedger ledger;
    crash(ledger, request(1, { 0xa, harmful_part }), "e1", start);
    crash(ledger, request(2, { 0xc, harmful_part }), "e2", start + seconds(1));
    CHECK(ledger.request_crashes(request(3, { 0xd, harmful_part }), start + seconds(1)).to_probe.size() == 1);
}

TEST_CASE("of requests that come at all boxes at the same moment, few run as the probe of a part")
{
    constexpr std::size_t box_count = 400;
    std::size_t may_run = 0;
    bool had_each_its_turn = true;
    for (std::size_t box = 0; box < box_count; ++box) {
        CrashLedger ledger(box);
        crash(ledger, request(1, { 0xa }), "e1", start);
        crash(ledger, request(2, { 0xa }), "e2", start);
        auto const may_run_at
            = [&](Instant moment) { return !ledger.request_crashes(request(3, { 0xa }), moment).is_probed; };
        may_run += may_run_at(start) ? 1 : 0;
        bool had_turn = false;
        for (auto moment = start; moment < start + seconds(12); moment += milliseconds(100))
            had_turn |= may_run_at(moment);
        had_each_its_turn &= had_turn;
    }
    CHECK(may_run > 0);
    CHECK(may_run <= box_count / 3);
    CHECK(had_each_its_turn);
}

TEST_CASE("only one run of several that a crash ended is its cause, so their parts are not compared with each other")
{
    CrashLedger ledger;
    crash(ledger, request(1, { 0xa, harmful_part }), "e1", start);
    crash(ledger, request(2, { 0xa, harmful_part }), "e2", start + seconds(1));
    crash(ledger, request(3, { 0xa, 0xc }), "e2", start + seconds(1));
    CHECK(ledger.request_crashes(request(4, { 0xa, 0xc }), start + seconds(1)).to_probe.empty());
    CHECK_FALSE(ledger.request_crashes(request(4, { 0xa, harmful_part }), start + seconds(1)).to_probe.empty());
}

TEST_CASE("an account that crashes endpoints under a part doesn't get the requests of others with it refused")
{
    constexpr std::uint64_t other_account = 2;
    CrashLedger ledger;
    for (std::uint64_t number = 1; number <= CrashLedger::part_quarantine_threshold; ++number)
        crash(ledger, request(number, { 0xa }), "e" + std::to_string(number), start + seconds(number));
    auto const now = start + seconds(6);
    CHECK(ledger.request_crashes(request(9, { 0xa }), now).refused_for);
    CHECK_FALSE(ledger.request_crashes(request(9, { 0xa }, other_account), now).refused_for);
    // What is sound for one account clears nothing for another.
    auto const part = request(9, { 0xa }).prompt_parts.front();
    CHECK_FALSE(ledger.is_disproved(part, other_account, now));
    CHECK(ledger.is_disproved(part, 1, now));
    SUBCASE("unless endpoints crash under it for them too")
    {
        crash(ledger, request(10, { 0xa }, other_account), "e9", now);
        CHECK(ledger.request_crashes(request(11, { 0xa }, other_account), now).refused_for);
        CHECK(ledger.request_crashes(request(12, { 0xa }, 3), now).refused_for);
    }
}

TEST_CASE("a crash that is taken back counts for nothing, also where the earlier ones of its part are not known here")
{
    CrashLedger ledger;
    auto const run = request(1, { 0xa, 0xc });
    EndpointInstance const endpoint { "e5", 0 };
    ledger.apply(CrashLedger::reports_of(run, { 0, 4, 4 }, endpoint)[1], just_now, start);
    CHECK(ledger.request_crashes(run, start).refused_for == CrashLedger::quarantine);
    CHECK(ledger.retract(endpoint));
    CHECK(ledger.refused(start).empty());
    // What its run had in common with the others is forgotten too.
    crash(ledger, request(2, { 0xa, 0xd }), "e6", start);
    CHECK(ledger.request_crashes(request(3, { 0xa, 0xd }), start).refused_for);
}

TEST_CASE("an answer that began before the last crash clears no part")
{
    CrashLedger ledger;
    auto const run = request(1, { 0xa });
    crash(ledger, run, "e1", start);
    CHECK_FALSE(ledger.is_disproved(run.prompt_parts.front(), 1, start));
    CHECK(ledger.is_disproved(run.prompt_parts.front(), 1, start + milliseconds(1)));
}

TEST_CASE("refusals of a part are short at first, and last ten minutes from the fifth crash on")
{
    CrashLedger ledger;
    std::vector<std::optional<Duration>> refusals;
    for (std::uint64_t number = 1; number <= 6; ++number) {
        crash(ledger, request(number, { 0xa }), "e" + std::to_string(number), start + minutes(number));
        refusals.push_back(ledger.request_crashes(request(9, { 0xa }), start + minutes(number)).refused_for);
    }
    CHECK(refusals
        == std::vector<std::optional<Duration>> { {}, {}, CrashLedger::part_third_refusal,
            CrashLedger::part_fourth_refusal, CrashLedger::quarantine, CrashLedger::quarantine - minutes(1) });
}

namespace {

/// What a simulated fleet is, and what comes to it.
struct Fleet {
    std::size_t boxes { 6 };
    std::size_t engines { 9 };
    /// Sound requests per second, all boxes together.
    unsigned sound_per_second { 50 };
    /// Harmful requests that come at once, and the pause between these.
    unsigned harmful_at_once { 1 };
    Duration harmful_interval { milliseconds(350) };
    /// The shared parts of harmful requests, in turn.
    std::vector<std::vector<std::uint64_t>> harmful_prompts { { system_prompt, harmful_part } };
    /// The parts under which engines crash.
    std::set<std::uint64_t> harmful_parts { harmful_part };
};

/// Simulates a fleet in virtual time: ten calm seconds, then 24 in which harmful requests come. An engine crashes with
/// all its runs when it begins to answer a harmful request, and is back after 2 s under the same id. One datagram in
/// ten is lost; each update is sent three times.
class HarmfulPartSimulation {
public:
    HarmfulPartSimulation(std::uint64_t seed, Fleet fleet)
        : random(seed)
        , fleet(std::move(fleet))
        , engines(this->fleet.engines)
    {
        this->ledgers.reserve(this->fleet.boxes);
        for (std::size_t box = 0; box < this->fleet.boxes; ++box)
            this->ledgers.emplace_back(box);
    }

    void run()
    {
        for (this->now = start; this->now < harm_ends; this->now += tick)
            this->step();
    }

    /// Harmful runs that were sent later than the boxes need to learn of the fifth crash.
    unsigned late_harmful_runs { 0 };
    unsigned crashes { 0 };
    /// Share of the sound requests that were answered at their first attempt, in the calm seconds and from twice the
    /// time on that boxes need to learn of the fifth crash.
    [[nodiscard]] double calm_share() const { return this->calm.share(); }
    [[nodiscard]] double late_share() const { return this->late.share(); }

private:
    struct Counts {
        unsigned sent { 0 };
        unsigned answered { 0 };
        [[nodiscard]] double share() const
        {
            return static_cast<double>(this->answered) / std::max(1.0, static_cast<double>(this->sent));
        }
    };
    struct Run {
        CrashSuspects suspects;
        bool is_harmful { false };
        bool is_first_attempt { true };
        std::size_t box { 0 };
        std::vector<unsigned> known;
        std::vector<CrashSuspect> probed;
        Instant sent;
        Instant answer_begins;
        Instant ends;
        Instant probe_sent;
    };
    struct Engine {
        Instant up_at;
        std::vector<Run> runs;
    };
    struct Cleared {
        CrashSuspect suspect;
    };
    struct Probing {
        CrashSuspect suspect;
    };
    struct ProbeEnded {
        CrashSuspect suspect;
    };
    struct Update {
        std::size_t from;
        std::variant<CrashReport, Cleared, Probing, ProbeEnded> content;
        Instant sent;
    };
    struct Deliver {
        CrashLedger& ledger;
        Instant sent;
        Instant now;

        void operator()(CrashReport const& report) const
        {
            this->ledger.apply(report, this->now - this->sent, this->now);
        }
        void operator()(Cleared const& cleared) const { this->ledger.clear(cleared.suspect, this->now); }
        void operator()(Probing const& probing) const { this->ledger.renew_probe(probing.suspect, this->now); }
        void operator()(ProbeEnded const& ended) const { this->ledger.end_probe(ended.suspect); }
    };

    static constexpr Duration tick { milliseconds(4) };
    static constexpr Instant harm_begins { start + seconds(10) };
    static constexpr Instant harm_ends { harm_begins + seconds(24) };
    /// As CrashExchange does.
    static constexpr Duration answer_beginning { milliseconds(500) };
    static constexpr Duration probe_interval { seconds(1) };

    void step()
    {
        this->deliver();
        for (std::size_t index = 0; index < this->engines.size(); ++index)
            this->run_engine(index);
        constexpr unsigned ticks_per_second = 250;
        for (unsigned draw = 0; draw < 1 + this->fleet.sound_per_second / ticks_per_second; ++draw) {
            auto const share = this->fleet.sound_per_second / (1 + this->fleet.sound_per_second / ticks_per_second);
            if (this->random(ticks_per_second) < share)
                this->send_sound();
        }
        if (this->now < harm_begins + this->harmful_waves * this->fleet.harmful_interval)
            return;
        ++this->harmful_waves;
        for (unsigned number = 0; number < this->fleet.harmful_at_once; ++number) {
            auto const& prompt = this->fleet.harmful_prompts[this->next_request % this->fleet.harmful_prompts.size()];
            this->place(request(++this->next_request, prompt), true, true);
        }
    }

    void send_sound()
    {
        constexpr std::uint64_t sessions = 20;
        constexpr std::uint64_t first_session = 0x100;
        this->place(
            request(++this->next_request, { system_prompt, first_session + this->random(sessions) }), false, true);
    }

    [[nodiscard]] bool is_late(Instant sent, Duration lag) const
    {
        return this->fifth_crash && sent >= *this->fifth_crash + lag;
    }

    [[nodiscard]] Counts* counts_of(Run const& run)
    {
        if (run.is_harmful || !run.is_first_attempt)
            return nullptr;
        if (run.sent < harm_begins - seconds(2))
            return &this->calm;
        return this->is_late(run.sent, 2 * contact) ? &this->late : nullptr;
    }

    void place(CrashSuspects const& suspects, bool is_harmful, bool is_first_attempt)
    {
        Run run { suspects, is_harmful, is_first_attempt, this->random(this->ledgers.size()), {}, {}, this->now, {}, {},
            {} };
        if (auto* const counts = this->counts_of(run))
            ++counts->sent;
        auto& ledger = this->ledgers[run.box];
        auto const status = ledger.request_crashes(suspects, this->now);
        if (status.refused_for || status.is_probed)
            return;
        auto& engine = this->engines[this->random(this->engines.size())];
        if (engine.up_at > this->now)
            return;
        this->late_harmful_runs += is_harmful && this->is_late(this->now, contact) ? 1 : 0;
        run.known = status.known;
        run.probed = status.to_probe;
        run.answer_begins = this->now + milliseconds(50 + this->random(350));
        run.ends = run.answer_begins + milliseconds(200 + this->random(1000));
        this->renew_probes(run);
        engine.runs.push_back(std::move(run));
    }

    void renew_probes(Run& run)
    {
        run.probe_sent = this->now;
        for (auto const& suspect : run.probed)
            this->broadcast(run.box, Probing { suspect });
    }

    void run_engine(std::size_t index)
    {
        auto& engine = this->engines[index];
        for (auto& run : engine.runs) {
            if (!run.probed.empty() && this->now - run.probe_sent >= probe_interval)
                this->renew_probes(run);
        }
        if (std::ranges::any_of(
                engine.runs, [this](auto const& run) { return run.is_harmful && run.answer_begins <= this->now; }))
            this->crash_engine(index);
        std::erase_if(engine.runs, [this](auto& run) { return this->finish(run); });
    }

    /// Returns whether the run has ended.
    bool finish(Run& run)
    {
        auto& ledger = this->ledgers[run.box];
        bool const has_ended = run.ends <= this->now;
        if (has_ended || run.answer_begins + answer_beginning <= this->now) {
            for (auto const& part : run.suspects.prompt_parts) {
                if (ledger.is_disproved(part, run.suspects.request.account, run.answer_begins)
                    && ledger.clear(part, this->now))
                    this->broadcast(run.box, Cleared { part });
            }
        }
        if (!has_ended)
            return false;
        if (ledger.clear(run.suspects.request, this->now))
            this->broadcast(run.box, Cleared { run.suspects.request });
        this->end_probes(run);
        if (auto* const counts = this->counts_of(run))
            ++counts->answered;
        return true;
    }

    void end_probes(Run const& run)
    {
        for (auto const& suspect : run.probed)
            this->broadcast(run.box, ProbeEnded { suspect });
    }

    void crash_engine(std::size_t index)
    {
        auto& engine = this->engines[index];
        engine.up_at = this->now + seconds(2);
        if (++this->crashes == 5)
            this->fifth_crash = this->now;
        auto const broken = std::exchange(engine.runs, {});
        for (auto const& run : broken) {
            for (auto const& report :
                CrashLedger::reports_of(run.suspects, run.known, { "e" + std::to_string(index), 0 })) {
                auto const outcome = this->ledgers[run.box].apply(report, just_now, this->now);
                if (outcome == CrashLedger::Outcome::New || outcome == CrashLedger::Outcome::FurtherRun)
                    this->broadcast(run.box, report);
            }
            this->end_probes(run);
        }
        for (auto const& run : broken) {
            if (!run.is_harmful && run.is_first_attempt)
                this->place(run.suspects, false, false);
        }
    }

    void broadcast(std::size_t from, decltype(Update::content) const& content)
    {
        Update const update { from, content, this->now };
        Deliver const own { this->ledgers[from], this->now, this->now };
        if (!std::holds_alternative<CrashReport>(content) && !std::holds_alternative<Cleared>(content))
            std::visit(own, content);
        bool const is_sent_once
            = std::holds_alternative<ProbeEnded>(content) || std::holds_alternative<Probing>(content);
        for (auto const delay : { 10, 260, 1260 }) {
            this->updates.emplace(this->now + milliseconds(delay), update);
            if (is_sent_once)
                break;
        }
    }

    void deliver()
    {
        while (!this->updates.empty() && this->updates.begin()->first <= this->now) {
            auto const& update = this->updates.begin()->second;
            for (std::size_t box = 0; box < this->ledgers.size(); ++box) {
                bool const is_lost = this->random(10) == 0;
                if (box != update.from && !is_lost)
                    std::visit(Deliver { this->ledgers[box], update.sent, this->now }, update.content);
            }
            this->updates.erase(this->updates.begin());
        }
    }

    pcg32 random;
    Fleet fleet;
    Instant now;
    std::vector<CrashLedger> ledgers;
    std::vector<Engine> engines;
    std::multimap<Instant, Update> updates;
    std::uint64_t next_request { 0 };
    unsigned harmful_waves { 0 };
    std::optional<Instant> fifth_crash;
    Counts calm;
    Counts late;
};

void check_fleet(Fleet const& fleet, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        HarmfulPartSimulation simulation(seed, fleet);
        simulation.run();
        CAPTURE(simulation.crashes);
        CAPTURE(simulation.calm_share());
        CHECK(simulation.late_harmful_runs <= 3 * fleet.harmful_parts.size());
        // Sound requests are answered at least half as often as without harmful ones.
        CHECK(2 * simulation.late_share() >= simulation.calm_share());
    }
}

}

TEST_CASE("a harmful part is stopped, and sound requests that share the rest are answered")
{
    Fleet fleet;
    SUBCASE("one request after another") { }
    SUBCASE("four at a time")
    {
        fleet.harmful_at_once = 4;
    }
    SUBCASE("the part is the first of the prompt")
    {
        fleet.harmful_prompts = { { harmful_part, 0x101 } };
    }
    SUBCASE("the part stands between others")
    {
        fleet.harmful_prompts = { { system_prompt, harmful_part, 0x101 }, { system_prompt, harmful_part, 0x102 } };
    }
    SUBCASE("two parts at a time")
    {
        fleet.harmful_at_once = 2;
        fleet.harmful_prompts = { { system_prompt, harmful_part }, { system_prompt, 0xbad2 } };
        fleet.harmful_parts = { harmful_part, 0xbad2 };
    }
    SUBCASE("the other parts change each time")
    {
        fleet.harmful_prompts = { { 0x101, harmful_part }, { 0x102, harmful_part }, { 0x103, harmful_part },
            { 0x104, harmful_part }, { 0x105, harmful_part }, { 0x106, harmful_part }, { 0x107, harmful_part } };
    }
    check_fleet(fleet, 5);
}

TEST_CASE("a harmful part is stopped at 88 and at 985 boxes")
{
    Fleet fleet;
    SUBCASE("88 boxes")
    {
        fleet.boxes = 88;
        fleet.engines = 90;
        fleet.sound_per_second = 240;
        fleet.harmful_at_once = 4;
        check_fleet(fleet, 2);
    }
    SUBCASE("985 boxes")
    {
        fleet.boxes = 985;
        fleet.engines = 985;
        fleet.sound_per_second = 200;
        fleet.harmful_at_once = 8;
        check_fleet(fleet, 1);
    }
}
