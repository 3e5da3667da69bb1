#include <TestMain.h>

#include <LibRouting/CrashLedger.h>
#include <pcg_random.hpp>
#include <variant>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using Outcome = CrashLedger::Outcome;

constexpr auto start = Instant {} + minutes(5);
constexpr Duration just_now { 0 };
constexpr CrashSuspect harmful { 1, 7 };

EndpointInstance endpoint(int number)
{
    return { "e" + std::to_string(number), 1000 };
}

CrashReport crash(int number, unsigned count, CrashSuspect request = harmful)
{
    return { request, endpoint(number), count };
}

/// Three crashes, each in a run that began when the previous crash was known.
CrashLedger ledger_with_refused_request()
{
    CrashLedger ledger;
    for (unsigned count = 1; count <= CrashLedger::refusal_threshold; ++count)
        CHECK(ledger.apply(crash(static_cast<int>(count), count), just_now, start) == Outcome::New);
    return ledger;
}

}

TEST_CASE("fingerprints differ by account, host, path and body, and by the boundaries between them")
{
    auto const request = fingerprint_of("account", "host", "/path", "body");
    CHECK(request == fingerprint_of("account", "host", "/path", "body"));
    CHECK(request.account == fingerprint_of("account", "other", "/other", "").account);
    CHECK(request.content == fingerprint_of("other", "host", "/path", "body").content);
    for (auto const& other :
        { fingerprint_of("other", "host", "/path", "body"), fingerprint_of("account", "hos", "t/path", "body"),
            fingerprint_of("account", "host", "/pathb", "ody"), fingerprint_of("account", "host", "/path", "") })
        CHECK(other != request);
    CHECK(to_string(CrashSuspect { 1, 255 }) == "000000000000000100000000000000ff");
}

TEST_CASE("a request is refused for ten minutes from the third crash on, then a single run decides")
{
    CrashLedger ledger;
    ledger.apply(crash(1, 1), just_now, start);
    ledger.apply(crash(2, 2), just_now, start);
    CHECK(ledger.status(harmful, start) == CrashStatus { 2, {} });
    ledger.apply(crash(3, 3), just_now, start);
    CHECK(ledger.status(harmful, start + seconds(1)) == CrashStatus { 3, CrashLedger::quarantine - seconds(1) });
    CHECK(ledger.refused(start).size() == 1);
    CHECK(ledger.status({ 1, 8 }, start) == CrashStatus {});

    auto const later = start + CrashLedger::quarantine;
    CHECK(ledger.status(harmful, later) == CrashStatus { 2, {} });
    CHECK(ledger.refused(later).empty());
    CHECK(ledger.apply(crash(4, 3), just_now, later) == Outcome::New);
    CHECK(ledger.status(harmful, later) == CrashStatus { 3, CrashLedger::quarantine });

    ledger.expire(later + CrashLedger::retention);
    CHECK(ledger.size() == 0);
}

TEST_CASE("a popular request that was running on all endpoints of a failed rack counts one crash")
{
    CrashLedger ledger;
    constexpr int rack = 40;
    for (int number = 0; number < rack; ++number)
        ledger.apply(crash(number, 1), just_now, start);
    CHECK(ledger.status(harmful, start) == CrashStatus { 1, {} });
}

TEST_CASE("a successful run clears its request, and late reports don't undo that")
{
    auto ledger = ledger_with_refused_request();
    CHECK(ledger.clear(harmful, start + seconds(1)));
    CHECK_FALSE(ledger.clear(harmful, start + seconds(1)));
    CHECK(ledger.status(harmful, start + seconds(1)) == CrashStatus {});
    CHECK(ledger.apply(crash(3, 3), seconds(1), start + seconds(2)) == Outcome::Cleared);
    CHECK(ledger.status(harmful, start + seconds(2)) == CrashStatus {});
    // Later crashes are counted from the start.
    for (unsigned count = 1; count <= CrashLedger::refusal_threshold; ++count)
        CHECK(ledger.apply(crash(9, count), just_now, start + seconds(3)) == Outcome::New);
    CHECK(ledger.status(harmful, start + seconds(3)).refused_for.has_value());
}

TEST_CASE("only an answer on a connection older than the crash retracts the crash")
{
    auto ledger = ledger_with_refused_request();
    constexpr auto before = start - seconds(1);
    constexpr auto later = start + milliseconds(1);
    SUBCASE("an answer to a request that was sent before the crash was known does not")
    {
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { before, start }));
        CHECK(ledger.status(harmful, start).crashes == 3);
    }
    SUBCASE("an answer to a later request on a connection that was opened after the crash does not")
    {
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { start, later }));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { later, later + seconds(5) }));
        CHECK(ledger.status(harmful, start).crashes == 3);
    }
    SUBCASE("an answer to a later request on an older connection does")
    {
        CHECK(ledger.endpoint_answered(endpoint(2), { before, later }));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { before, later + milliseconds(1) }));
        CHECK(ledger.status(harmful, start + seconds(1)) == CrashStatus { 2, {} });
    }
    SUBCASE("after several crashes the connection must be older than the last one")
    {
        ledger.apply(crash(2, 1, { 8, 8 }), just_now, start + seconds(10));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { start + seconds(5), start + seconds(9) }));
        CHECK(ledger.endpoint_answered(endpoint(2), { start + seconds(5), start + seconds(11) }));
    }
    SUBCASE("an answer of another instance of the endpoint does not")
    {
        CHECK_FALSE(ledger.endpoint_answered({ "e2", 2000 }, { before, later }));
        CHECK(ledger.status(harmful, start).crashes == 3);
    }
    SUBCASE("a retraction by another box does")
    {
        CHECK(ledger.retract(endpoint(3)));
    }
}

TEST_CASE("repeated, late and out-of-order reports change nothing")
{
    auto ledger = ledger_with_refused_request();
    for (unsigned count = 1; count <= CrashLedger::refusal_threshold; ++count)
        CHECK(ledger.apply(crash(static_cast<int>(count), count), seconds(30), start + seconds(30)) == Outcome::Known);
    CHECK(ledger.status(harmful, start + seconds(30)).refused_for == CrashLedger::quarantine - seconds(30));
    CHECK(ledger.apply(crash(1, 0), just_now, start) == Outcome::Known);
    CHECK(ledger.apply(crash(1, 3, { 5, 5 }), CrashLedger::retention, start) == Outcome::Known);
}

TEST_CASE("no other run of a request that crashed an endpoint begins during a probe")
{
    CrashLedger ledger;
    CHECK_FALSE(ledger.status(harmful, start).is_probed);
    ledger.apply(crash(1, 1), just_now, start);
    CHECK_FALSE(ledger.status(harmful, start).is_probed);
    ledger.renew_probe(harmful, start);
    CHECK(ledger.status(harmful, start).is_probed);
    CHECK_FALSE(ledger.status({ 1, 8 }, start).is_probed);
    SUBCASE("until the box of the probe ends it")
    {
        ledger.end_probe(harmful);
    }
    SUBCASE("until a run succeeds")
    {
        ledger.clear(harmful, start);
    }
    SUBCASE("until its crash is reported")
    {
        ledger.apply(crash(2, 2), just_now, start);
    }
    SUBCASE("but a crash of a run that began before the probe does not end it")
    {
        ledger.apply(crash(2, 1), just_now, start);
        CHECK(ledger.status(harmful, start).is_probed);
        return;
    }
    CHECK_FALSE(ledger.status(harmful, start).is_probed);
}

TEST_CASE("a probe that is not renewed ends with its lease")
{
    CrashLedger ledger;
    ledger.apply(crash(1, 1), just_now, start);
    ledger.renew_probe(harmful, start);
    ledger.renew_probe(harmful, start + seconds(1));
    CHECK(ledger.status(harmful, start + CrashLedger::probe_lease).is_probed);
    CHECK_FALSE(ledger.status(harmful, start + seconds(1) + CrashLedger::probe_lease).is_probed);
    for (std::uint64_t number = 0; number < 2 * CrashLedger::max_requests; ++number)
        ledger.renew_probe({ 2, number }, start + milliseconds(number));
    CHECK(ledger.probe_count() <= CrashLedger::max_requests);
}

TEST_CASE("made-up requests don't evict a request that crashed twice, and memory is bounded")
{
    CrashLedger ledger;
    ledger.apply(crash(1, 1), just_now, start);
    ledger.apply(crash(2, 2), just_now, start);
    constexpr std::uint64_t made_up = 3 * CrashLedger::max_requests;
    for (std::uint64_t number = 0; number < made_up; ++number)
        ledger.apply(crash(3, 1, { 2, number }), just_now, start + milliseconds(number));
    CHECK(ledger.size() <= CrashLedger::max_requests);
    CHECK(ledger.status(harmful, start + seconds(9)).crashes == 2);
    CHECK(ledger.crashed_endpoints() <= CrashLedger::max_requests);
}

namespace {

/// Average number of ticks between harmful requests.
struct HarmfulLoad {
    std::uint32_t ticks_between { 1 };
    /// Whether boxes allow only a single run at a time of a request that has crashed an engine.
    bool limits_runs { true };
};

/// Simulates six boxes and nine engines in virtual time. Clients send a harmful request: each engine that runs it
/// crashes 100 ms later with all its runs, and is back after 3 s under the same id without reporting a start time.
/// Other clients try twice, and all boxes serve one popular request. Messages between boxes take some milliseconds.
/// Boxes keep a connection to each engine from its start on.
class HarmfulClientSimulation {
public:
    HarmfulClientSimulation(std::uint64_t seed, HarmfulLoad load)
        : random(seed)
        , load(load)
    {
    }

    void run()
    {
        for (this->now = start; this->now < start + minutes(2); this->now += tick)
            this->step();
    }

    unsigned crashed_engines { 0 };
    /// Runs of the harmful request that began after three engines had crashed.
    unsigned excess_sends { 0 };
    unsigned harmless_refused { 0 };
    unsigned popular_refused { 0 };
    /// Harmless requests that were told to retry while a probe was running.
    unsigned harmless_delayed { 0 };
    unsigned harmless_placed { 0 };

private:
    struct Run {
        CrashSuspect request;
        std::size_t box;
        unsigned known;
        Instant began;
        Instant ends_at;
        unsigned tries_left;
        bool is_probe { false };
        Instant probe_sent_at;
    };
    struct Engine {
        Instant up_at;
        std::optional<Instant> ends_at;
        std::vector<Run> runs;
    };
    struct RunSucceeded { };
    struct ProbeRenewed { };
    struct ProbeEnded { };
    struct Message {
        std::size_t box;
        CrashSuspect request;
        std::variant<CrashReport, RunSucceeded, ProbeRenewed, ProbeEnded> content;
        Instant sent_at;
        Instant arrives_at;
    };
    static constexpr CrashSuspect popular { 9, 9 };
    static constexpr Duration tick { milliseconds(4) };
    static constexpr Duration probe_interval { seconds(1) };

    struct Deliver {
        CrashLedger& ledger;
        Message const& messages;
        Instant now;

        void operator()(CrashReport const& report) const
        {
            this->ledger.apply(report, this->now - this->messages.sent_at, this->now);
        }
        void operator()(RunSucceeded) const { this->ledger.clear(this->messages.request, this->now); }
        void operator()(ProbeRenewed) const { this->ledger.renew_probe(this->messages.request, this->now); }
        void operator()(ProbeEnded) const { this->ledger.end_probe(this->messages.request); }
    };

    void step()
    {
        std::erase_if(this->messages, [this](auto const& message) {
            if (message.arrives_at > this->now)
                return false;
            std::visit(Deliver { this->ledgers[message.box], message, this->now }, message.content);
            return true;
        });
        for (std::size_t index = 0; index < this->engines.size(); ++index)
            this->run_engine(index);
        // Harmless requests arrive every 8 ms on average, the popular one every 40 ms.
        if (this->random(this->load.ticks_between) == 0)
            this->place(harmful, 0);
        if (this->random(2) == 0)
            this->place({ 3, ++this->next_request }, 1);
        if (this->random(10) == 0)
            this->place(popular, 1);
    }

    void place(CrashSuspect request, unsigned tries_left)
    {
        auto const box = this->random(this->ledgers.size());
        auto& ledger = this->ledgers[box];
        auto const status = ledger.status(request, this->now);
        if (status.refused_for) {
            this->harmless_refused += request.account == 3 ? 1 : 0;
            this->popular_refused += request == popular ? 1 : 0;
            return;
        }
        bool const is_harmless = request != harmful;
        if (this->load.limits_runs && status.is_probed) {
            this->harmless_delayed += is_harmless ? 1 : 0;
            return;
        }
        auto const index = this->random(this->engines.size());
        auto& engine = this->engines[index];
        if (engine.up_at > this->now)
            return;
        this->harmless_placed += is_harmless ? 1 : 0;
        this->excess_sends += !is_harmless && this->crashed_engines >= CrashLedger::refusal_threshold ? 1 : 0;
        auto const lasts = is_harmless ? Duration { milliseconds(200 + this->random(1000)) } : seconds(60);
        Run run { request, box, status.crashes, this->now, this->now + lasts, tries_left, false, {} };
        if (status.crashes > 0)
            this->send_probe(run);
        engine.runs.push_back(run);
        if (!is_harmless && !engine.ends_at)
            engine.ends_at = this->now + milliseconds(100);
    }

    void send_probe(Run& run)
    {
        run.is_probe = true;
        run.probe_sent_at = this->now;
        this->send(run, ProbeRenewed {});
    }

    void run_engine(std::size_t index)
    {
        auto& engine = this->engines[index];
        EndpointInstance const instance { "e" + std::to_string(index), 0 };
        for (auto& run : engine.runs) {
            if (run.is_probe && this->now - run.probe_sent_at >= probe_interval)
                this->send_probe(run);
        }
        std::erase_if(engine.runs, [&](auto const& run) {
            if (run.ends_at > this->now)
                return false;
            this->ledgers[run.box].endpoint_answered(instance, { engine.up_at, run.began });
            this->send(run, RunSucceeded {});
            return true;
        });
        if (!engine.ends_at || *engine.ends_at > this->now)
            return;
        ++this->crashed_engines;
        engine.ends_at.reset();
        engine.up_at = this->now + seconds(3);
        auto const broken = std::exchange(engine.runs, {});
        for (auto const& run : broken) {
            this->send(run, CrashReport { run.request, instance, run.known + 1 });
            if (run.is_probe)
                this->send(run, ProbeEnded {});
            if (run.tries_left > 0)
                this->place(run.request, run.tries_left - 1);
        }
    }

    /// The box of the run gets the message at once.
    void send(Run const& run, decltype(Message::content) const& content)
    {
        for (std::size_t box = 0; box < this->ledgers.size(); ++box) {
            // One message in ten is lost and sent again a quarter of a second later.
            auto const delay = box == run.box ? 0 : this->random(10) == 0 ? 260 : 2 + this->random(10);
            this->messages.push_back({ box, run.request, content, this->now, this->now + milliseconds(delay) });
        }
    }

    pcg32 random;
    HarmfulLoad load;
    Instant now;
    std::array<CrashLedger, 6> ledgers;
    std::array<Engine, 9> engines;
    std::vector<Message> messages;
    std::uint64_t next_request { 0 };
};

}

TEST_CASE("a client that resends a harmful request crashes few engines, and no harmless request is refused")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        // A harmful request each 0.7 s.
        HarmfulClientSimulation simulation(seed, { 175 });
        simulation.run();
        CHECK(simulation.crashed_engines >= CrashLedger::refusal_threshold);
        CHECK(simulation.crashed_engines <= CrashLedger::refusal_threshold + 3);
        CHECK(simulation.harmless_refused == 0);
        CHECK(simulation.popular_refused == 0);
    }
}

TEST_CASE("concurrent copies of a harmful request are sent to few engines once three have crashed")
{
    unsigned excess_without_limit = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        // A harmful request each 40 ms.
        HarmfulClientSimulation simulation(seed, { 10 });
        simulation.run();
        CHECK(simulation.crashed_engines >= CrashLedger::refusal_threshold);
        CHECK(simulation.excess_sends <= 3);
        CHECK(simulation.harmless_refused == 0);
        // At most one harmless request in a hundred has to be retried.
        CHECK((simulation.harmless_delayed + simulation.popular_refused) * 100 <= simulation.harmless_placed);
        HarmfulClientSimulation without_limit(seed, { 10, false });
        without_limit.run();
        excess_without_limit += without_limit.excess_sends > 3 ? 1 : 0;
    }
    // Counting crashes is not enough if copies may run concurrently.
    CHECK(excess_without_limit > 0);
}
