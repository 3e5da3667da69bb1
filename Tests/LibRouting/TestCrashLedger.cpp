#include <TestMain.h>

#include <LibRouting/CrashLedger.h>
#include <pcg_random.hpp>
#include <variant>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using Taken = CrashLedger::Taken;

constexpr auto start = Instant {} + minutes(5);
constexpr Duration just_now { 0 };
constexpr RequestFingerprint harmful { 1, 7 };

EndpointLife endpoint(int number)
{
    return { "e" + std::to_string(number), 1000 };
}

CrashReport crash(int number, unsigned count, RequestFingerprint request = harmful)
{
    return { request, endpoint(number), count };
}

/// Three crashes, each of a run that began when the one before was known.
CrashLedger ledger_with_refused_request()
{
    CrashLedger ledger;
    for (unsigned count = 1; count <= CrashLedger::most_crashes; ++count)
        CHECK(ledger.take(crash(static_cast<int>(count), count), just_now, start) == Taken::New);
    return ledger;
}

}

TEST_CASE("a fingerprint tells requests apart by account, host, path and body, and by where one part ends")
{
    auto const request = fingerprint_of("account", "host", "/path", "body");
    CHECK(request == fingerprint_of("account", "host", "/path", "body"));
    CHECK(request.account == fingerprint_of("account", "other", "/other", "").account);
    CHECK(request.content == fingerprint_of("other", "host", "/path", "body").content);
    for (auto const& other :
        { fingerprint_of("other", "host", "/path", "body"), fingerprint_of("account", "hos", "t/path", "body"),
            fingerprint_of("account", "host", "/pathb", "ody"), fingerprint_of("account", "host", "/path", "") })
        CHECK(other != request);
    CHECK(to_string(RequestFingerprint { 1, 255 }) == "000000000000000100000000000000ff");
}

TEST_CASE("a request is refused from the third crash on, for ten minutes, and then one run decides")
{
    CrashLedger ledger;
    ledger.take(crash(1, 1), just_now, start);
    ledger.take(crash(2, 2), just_now, start);
    CHECK(ledger.verdict(harmful, start) == CrashVerdict { 2, {} });
    ledger.take(crash(3, 3), just_now, start);
    CHECK(ledger.verdict(harmful, start + seconds(1)) == CrashVerdict { 3, CrashLedger::quarantine - seconds(1) });
    CHECK(ledger.refused(start).size() == 1);
    CHECK(ledger.verdict({ 1, 8 }, start) == CrashVerdict {});

    auto const later = start + CrashLedger::quarantine;
    CHECK(ledger.verdict(harmful, later) == CrashVerdict { 2, {} });
    CHECK(ledger.refused(later).empty());
    CHECK(ledger.take(crash(4, 3), just_now, later) == Taken::New);
    CHECK(ledger.verdict(harmful, later) == CrashVerdict { 3, CrashLedger::quarantine });

    ledger.expire(later + CrashLedger::memory);
    CHECK(ledger.size() == 0);
}

TEST_CASE("a popular request that is under all endpoints of a lost rack counts one crash")
{
    CrashLedger ledger;
    constexpr int rack = 40;
    for (int number = 0; number < rack; ++number)
        ledger.take(crash(number, 1), just_now, start);
    CHECK(ledger.verdict(harmful, start) == CrashVerdict { 1, {} });
}

TEST_CASE("a run that ends well clears its request, also against what is told late")
{
    auto ledger = ledger_with_refused_request();
    CHECK(ledger.clear(harmful, start + seconds(1)));
    CHECK_FALSE(ledger.clear(harmful, start + seconds(1)));
    CHECK(ledger.verdict(harmful, start + seconds(1)) == CrashVerdict {});
    CHECK(ledger.take(crash(3, 3), seconds(1), start + seconds(2)) == Taken::Cleared);
    CHECK(ledger.verdict(harmful, start + seconds(2)) == CrashVerdict {});
    // What comes after it counts anew.
    for (unsigned count = 1; count <= CrashLedger::most_crashes; ++count)
        CHECK(ledger.take(crash(9, count), just_now, start + seconds(3)) == Taken::New);
    CHECK(ledger.verdict(harmful, start + seconds(3)).refused_for.has_value());
}

TEST_CASE("only an answer on a connection older than the crash takes it back: any other may come from a new process")
{
    auto ledger = ledger_with_refused_request();
    constexpr auto before = start - seconds(1);
    constexpr auto later = start + milliseconds(1);
    SUBCASE("an answer to a request that was sent before the crash was known says nothing")
    {
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { before, start }));
        CHECK(ledger.verdict(harmful, start).crashes == 3);
    }
    SUBCASE("an answer to a later one on a connection that came up after the crash says nothing")
    {
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { start, later }));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { later, later + seconds(5) }));
        CHECK(ledger.verdict(harmful, start).crashes == 3);
    }
    SUBCASE("an answer to a later one on an older connection takes it back")
    {
        CHECK(ledger.endpoint_answered(endpoint(2), { before, later }));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { before, later + milliseconds(1) }));
        CHECK(ledger.verdict(harmful, start + seconds(1)) == CrashVerdict { 2, {} });
    }
    SUBCASE("an answer on a connection older than the last crash of several is of the process that ended last")
    {
        ledger.take(crash(2, 1, { 8, 8 }), just_now, start + seconds(10));
        CHECK_FALSE(ledger.endpoint_answered(endpoint(2), { start + seconds(5), start + seconds(9) }));
        CHECK(ledger.endpoint_answered(endpoint(2), { start + seconds(5), start + seconds(11) }));
    }
    SUBCASE("another life of the endpoint says nothing")
    {
        CHECK_FALSE(ledger.endpoint_answered({ "e2", 2000 }, { before, later }));
        CHECK(ledger.verdict(harmful, start).crashes == 3);
    }
    SUBCASE("another box tells it")
    {
        CHECK(ledger.take_back(endpoint(3)));
    }
}

TEST_CASE("a report that is told twice, late or out of order changes nothing that is known")
{
    auto ledger = ledger_with_refused_request();
    for (unsigned count = 1; count <= CrashLedger::most_crashes; ++count)
        CHECK(ledger.take(crash(static_cast<int>(count), count), seconds(30), start + seconds(30)) == Taken::Known);
    CHECK(ledger.verdict(harmful, start + seconds(30)).refused_for == CrashLedger::quarantine - seconds(30));
    CHECK(ledger.take(crash(1, 0), just_now, start) == Taken::Known);
    CHECK(ledger.take(crash(1, 3, { 5, 5 }), CrashLedger::memory, start) == Taken::Known);
}

TEST_CASE("while one run of a request that crashed an endpoint decides, no other one begins")
{
    CrashLedger ledger;
    CHECK_FALSE(ledger.verdict(harmful, start).is_probed);
    ledger.take(crash(1, 1), just_now, start);
    CHECK_FALSE(ledger.verdict(harmful, start).is_probed);
    ledger.probe_goes_on(harmful, start);
    CHECK(ledger.verdict(harmful, start).is_probed);
    CHECK_FALSE(ledger.verdict({ 1, 8 }, start).is_probed);
    SUBCASE("until its teller says that it is over")
    {
        ledger.probe_ended(harmful);
    }
    SUBCASE("until a run ends well")
    {
        ledger.clear(harmful, start);
    }
    SUBCASE("until its crash is told")
    {
        ledger.take(crash(2, 2), just_now, start);
    }
    SUBCASE("not until another run's crash is told that began before")
    {
        ledger.take(crash(2, 1), just_now, start);
        CHECK(ledger.verdict(harmful, start).is_probed);
        return;
    }
    CHECK_FALSE(ledger.verdict(harmful, start).is_probed);
}

TEST_CASE("a probe of which nothing is heard any more keeps nobody out for longer than its lease")
{
    CrashLedger ledger;
    ledger.take(crash(1, 1), just_now, start);
    ledger.probe_goes_on(harmful, start);
    ledger.probe_goes_on(harmful, start + seconds(1));
    CHECK(ledger.verdict(harmful, start + CrashLedger::probe_lease).is_probed);
    CHECK_FALSE(ledger.verdict(harmful, start + seconds(1) + CrashLedger::probe_lease).is_probed);
    for (std::uint64_t number = 0; number < 2 * CrashLedger::most_requests; ++number)
        ledger.probe_goes_on({ 2, number }, start + milliseconds(number));
    CHECK(ledger.probe_count() <= CrashLedger::most_requests);
}

TEST_CASE("a caller who makes up requests pushes out none that crashed twice, and memory stays bounded")
{
    CrashLedger ledger;
    ledger.take(crash(1, 1), just_now, start);
    ledger.take(crash(2, 2), just_now, start);
    constexpr std::uint64_t made_up = 3 * CrashLedger::most_requests;
    for (std::uint64_t number = 0; number < made_up; ++number)
        ledger.take(crash(3, 1, { 2, number }), just_now, start + milliseconds(number));
    CHECK(ledger.size() <= CrashLedger::most_requests);
    CHECK(ledger.verdict(harmful, start + seconds(9)).crashes == 2);
    CHECK(ledger.crashed_endpoints() <= CrashLedger::most_requests);
}

namespace {

/// How often the harmful request comes, in ticks on average.
struct HarmfulLoad {
    std::uint32_t ticks_between { 1 };
    /// Whether boxes keep to one run at a time of a request that has crashed an engine.
    bool limits_runs { true };
};

/// Six boxes before nine engines, virtual time. Clients come with a harmful request; each engine that begins to run it
/// ends 100 ms later with all that runs there, and is back after 3 s under its id, which tells no life. Other clients
/// try twice, and all boxes serve one popular request. News is known at all boxes some milliseconds later. Boxes keep a
/// connection to each engine from its start on.
class HarmfulClientPlay {
public:
    HarmfulClientPlay(std::uint64_t seed, HarmfulLoad load)
        : random(seed)
        , load(load)
    {
    }

    void play()
    {
        for (this->now = start; this->now < start + minutes(2); this->now += tick)
            this->step();
    }

    unsigned ends { 0 };
    /// Runs of the harmful request that began when three engines had ended.
    unsigned sends_too_many { 0 };
    unsigned harmless_refused { 0 };
    unsigned popular_refused { 0 };
    /// Requests of others than the harmful client that were told to come back while another run decided.
    unsigned harmless_put_off { 0 };
    unsigned harmless_placed { 0 };

private:
    struct Run {
        RequestFingerprint request;
        std::size_t box;
        unsigned known;
        Instant began;
        Instant ends_at;
        unsigned tries_left;
        bool is_probe { false };
        Instant probe_told_at;
    };
    struct Engine {
        Instant up_at;
        std::optional<Instant> ends_at;
        std::vector<Run> runs;
    };
    struct RanWell { };
    struct Probed { };
    struct ProbeOver { };
    struct News {
        std::size_t box;
        RequestFingerprint request;
        std::variant<CrashReport, RanWell, Probed, ProbeOver> what;
        Instant told_at;
        Instant comes_at;
    };
    static constexpr RequestFingerprint popular { 9, 9 };
    static constexpr Duration tick { milliseconds(4) };
    static constexpr Duration probe_interval { seconds(1) };

    struct Hear {
        CrashLedger& ledger;
        News const& news;
        Instant now;

        void operator()(CrashReport const& report) const
        {
            this->ledger.take(report, this->now - this->news.told_at, this->now);
        }
        void operator()(RanWell) const { this->ledger.clear(this->news.request, this->now); }
        void operator()(Probed) const { this->ledger.probe_goes_on(this->news.request, this->now); }
        void operator()(ProbeOver) const { this->ledger.probe_ended(this->news.request); }
    };

    void step()
    {
        std::erase_if(this->news, [this](auto const& told) {
            if (told.comes_at > this->now)
                return false;
            std::visit(Hear { this->ledgers[told.box], told, this->now }, told.what);
            return true;
        });
        for (std::size_t index = 0; index < this->engines.size(); ++index)
            this->run_engine(index);
        // Every 8 ms and 40 ms.
        if (this->random(this->load.ticks_between) == 0)
            this->place(harmful, 0);
        if (this->random(2) == 0)
            this->place({ 3, ++this->next_request }, 1);
        if (this->random(10) == 0)
            this->place(popular, 1);
    }

    void place(RequestFingerprint request, unsigned tries_left)
    {
        auto const box = this->random(this->ledgers.size());
        auto& ledger = this->ledgers[box];
        auto const verdict = ledger.verdict(request, this->now);
        if (verdict.refused_for) {
            this->harmless_refused += request.account == 3 ? 1 : 0;
            this->popular_refused += request == popular ? 1 : 0;
            return;
        }
        bool const is_harmless = request != harmful;
        if (this->load.limits_runs && verdict.is_probed) {
            this->harmless_put_off += is_harmless ? 1 : 0;
            return;
        }
        auto const index = this->random(this->engines.size());
        auto& engine = this->engines[index];
        if (engine.up_at > this->now)
            return;
        this->harmless_placed += is_harmless ? 1 : 0;
        this->sends_too_many += !is_harmless && this->ends >= CrashLedger::most_crashes ? 1 : 0;
        auto const lasts = is_harmless ? Duration { milliseconds(200 + this->random(1000)) } : seconds(60);
        Run run { request, box, verdict.crashes, this->now, this->now + lasts, tries_left, false, {} };
        if (verdict.crashes > 0)
            this->tell_probe(run);
        engine.runs.push_back(run);
        if (!is_harmless && !engine.ends_at)
            engine.ends_at = this->now + milliseconds(100);
    }

    void tell_probe(Run& run)
    {
        run.is_probe = true;
        run.probe_told_at = this->now;
        this->tell(run, Probed {});
    }

    void run_engine(std::size_t index)
    {
        auto& engine = this->engines[index];
        EndpointLife const life { "e" + std::to_string(index), 0 };
        for (auto& run : engine.runs) {
            if (run.is_probe && this->now - run.probe_told_at >= probe_interval)
                this->tell_probe(run);
        }
        std::erase_if(engine.runs, [&](auto const& run) {
            if (run.ends_at > this->now)
                return false;
            this->ledgers[run.box].endpoint_answered(life, { engine.up_at, run.began });
            this->tell(run, RanWell {});
            return true;
        });
        if (!engine.ends_at || *engine.ends_at > this->now)
            return;
        ++this->ends;
        engine.ends_at.reset();
        engine.up_at = this->now + seconds(3);
        auto const broken = std::exchange(engine.runs, {});
        for (auto const& run : broken) {
            this->tell(run, CrashReport { run.request, life, run.known + 1 });
            if (run.is_probe)
                this->tell(run, ProbeOver {});
            if (run.tries_left > 0)
                this->place(run.request, run.tries_left - 1);
        }
    }

    /// Its own box knows at once.
    void tell(Run const& run, decltype(News::what) const& what)
    {
        for (std::size_t box = 0; box < this->ledgers.size(); ++box) {
            // One telling in ten is lost, and the next comes a quarter of a second later.
            auto const delay = box == run.box ? 0 : this->random(10) == 0 ? 260 : 2 + this->random(10);
            this->news.push_back({ box, run.request, what, this->now, this->now + milliseconds(delay) });
        }
    }

    pcg32 random;
    HarmfulLoad load;
    Instant now;
    std::array<CrashLedger, 6> ledgers;
    std::array<Engine, 9> engines;
    std::vector<News> news;
    std::uint64_t next_request { 0 };
};

}

TEST_CASE(
    "a client that comes back with a harmful request takes few engines with it, and no harmless request is refused")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        // Each 0.7 s.
        HarmfulClientPlay play(seed, { 175 });
        play.play();
        CHECK(play.ends >= CrashLedger::most_crashes);
        CHECK(play.ends <= CrashLedger::most_crashes + 3);
        CHECK(play.harmless_refused == 0);
        CHECK(play.popular_refused == 0);
    }
}

TEST_CASE("a harmful request of which copies run at the same time is sent to few engines once three have ended")
{
    unsigned too_many_if_counted_alone = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        // Each 40 ms.
        HarmfulClientPlay play(seed, { 10 });
        play.play();
        CHECK(play.ends >= CrashLedger::most_crashes);
        CHECK(play.sends_too_many <= 3);
        CHECK(play.harmless_refused == 0);
        // Of the harmless requests one in a hundred, at the most, has to come back.
        CHECK((play.harmless_put_off + play.popular_refused) * 100 <= play.harmless_placed);
        HarmfulClientPlay counted_alone(seed, { 10, false });
        counted_alone.play();
        too_many_if_counted_alone += counted_alone.sends_too_many > 3 ? 1 : 0;
    }
    // Where crashes are counted and copies may run side by side.
    CHECK(too_many_if_counted_alone > 0);
}
