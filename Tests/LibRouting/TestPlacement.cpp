#include <TestMain.h>

#include <LibRouting/Placement.h>
#include <map>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const now = Instant {} + seconds(100);
std::string const own_domain = "hall";

/// Engines of one service and their load as known to one box.
struct Engines {
    explicit Engines(int count)
    {
        for (int index = 0; index < count; ++index)
            this->endpoints.push_back({ EndpointId { static_cast<std::uint32_t>(index + 1) },
                { "i-" + std::to_string(index), "pool", { "10.0.0.1", 80 }, own_domain, 64, false }, {}, false });
    }

    /// The last `limited` endpoints have a rate limit.
    [[nodiscard]] EndpointId place(Workload const& workload, std::size_t for_answers = 2, std::size_t limited = 0) const
    {
        PlacementCandidates candidates;
        for (auto const& endpoint : this->endpoints) {
            bool const is_usual = candidates.usual.size() + limited < this->endpoints.size();
            (is_usual ? candidates.usual : candidates.limited).push_back(&endpoint);
        }
        auto const choice
            = choose_endpoint(candidates, this->loads, { workload, true, for_answers, own_domain, now, {}, {} }, {});
        REQUIRE(choice);
        return choice->endpoint;
    }

    std::vector<KnownEndpoint> endpoints;
    LoadTable loads;
};

Workload long_prompt(std::uint64_t subject, std::uint64_t own)
{
    return { { { 1, 2500 }, { subject, 3800 }, { own, 2900 } }, 9200, 54 };
}

Workload long_answer(std::uint64_t own)
{
    return { { { 2, 100 }, { 3, 70 }, { own, 540 } }, 710, 280 };
}

}

TEST_CASE("placement without endpoints chooses none")
{
    Workload const workload;
    CHECK_FALSE(choose_endpoint({}, {}, { workload, false, 0, own_domain, now, {}, {} }, {}));
}

TEST_CASE("boxes send prompts with a common part to the same engine without communication")
{
    Engines const first(9);
    Engines second(9);
    std::ranges::reverse(second.endpoints);
    std::map<EndpointId, int> homes;
    for (std::uint64_t subject = 100; subject < 200; ++subject) {
        auto const home = first.place(long_prompt(subject, subject * 1000));
        CHECK(home == second.place(long_prompt(subject, subject * 1000 + 1)));
        ++homes[home];
    }
    // Homes spread over the engines for long prompts.
    CHECK(homes.size() == 7);
    for (auto const& [engine, subjects] : homes)
        CHECK(subjects >= 5);
}

TEST_CASE("long answers and long prompts go to separate engines, in the numbers requested")
{
    Engines const engines(10);
    std::map<EndpointId, int> prompts;
    std::map<EndpointId, int> answers;
    for (std::uint64_t own = 1000; own < 1200; ++own) {
        ++prompts[engines.place(long_prompt(own * 7, own), 3)];
        ++answers[engines.place(long_answer(own), 3)];
    }
    CHECK(prompts.size() == 7);
    for (auto const& [engine, count] : answers)
        CHECK_FALSE(prompts.contains(engine));
}

// Guards against long reviews with long answers on the engines for answers: they hold up the streams there, and their
// shared parts are read in both groups of engines.
TEST_CASE("prompts that take several chunks go to the engines for long prompts, however long their answers are")
{
    Engines const engines(10);
    auto review = long_prompt(500, 1);
    auto const home = engines.place(review, 3);
    for (std::uint32_t answer_tokens = 0; answer_tokens <= 4000; answer_tokens += 100) {
        review.answer_tokens = answer_tokens;
        CHECK(engines.place(review, 3) == home);
    }
}

TEST_CASE("answers to long prompts count as work of the engines for long prompts")
{
    auto review = long_prompt(500, 1);
    EngineDemand without_answer;
    review.answer_tokens = 0;
    without_answer.add(review, now);
    EngineDemand with_answer;
    review.answer_tokens = 2000;
    with_answer.add(review, now);
    CHECK(with_answer.own_totals(now).answer_work == 0);
    CHECK(with_answer.own_totals(now).prompt_work > without_answer.own_totals(now).prompt_work);
}

TEST_CASE("an engine with a rate limit moves no homes, and gets what others have no room for")
{
    Engines const without(8);
    Engines engines(9);
    for (std::uint64_t subject = 100; subject < 200; ++subject)
        CHECK(engines.place(long_prompt(subject, subject * 1000), 2, 1)
            == without.place(long_prompt(subject, subject * 1000)));
    for (std::uint64_t request = 0; request < 8; ++request)
        engines.loads[EndpointId { static_cast<std::uint32_t>(request + 1) }].started(
            Core::RequestId { request }, long_prompt(1, 2), { seconds(1), seconds(1) }, now);
    CHECK(engines.place(long_prompt(100, 100'000), 2, 1) == EndpointId { 9 });
    // An endpoint with a rate limit gets all requests if it is the only one.
    CHECK(Engines(1).place(long_prompt(100, 100'000), 0, 1) == EndpointId { 1 });
}

TEST_CASE("the number of engines for long answers follows the demand, not each sample")
{
    EngineDemand demand;
    auto moment = now;
    CHECK(demand.engines_for_answers(2, moment) == 0);
    CHECK(demand.engines_for_answers(10, moment) == 2);
    // The first requests are too few for a stable share; afterwards a constant mix changes nothing.
    std::size_t changes = 0;
    std::size_t before = 0;
    for (std::uint64_t own = 0; own < 2000; ++own) {
        moment += milliseconds(100);
        demand.add(own % 4 == 0 ? long_answer(own) : long_prompt(own, own), moment);
        auto const given = demand.engines_for_answers(10, moment);
        changes += own > 100 && given != before ? 1 : 0;
        before = given;
    }
    CHECK(changes == 0);
    CHECK(before == 2);
    for (std::uint64_t own = 0; own < 300; ++own) {
        moment += milliseconds(100);
        demand.add(long_answer(own), moment);
    }
    CHECK(demand.engines_for_answers(10, moment) >= 6);
}

TEST_CASE("a relay's division overrides the box's own samples until it expires")
{
    EngineDemand demand;
    for (std::uint64_t own = 0; own < 50; ++own)
        demand.add(long_answer(own), now);
    CHECK(demand.engines_for_answers(10, now) >= 6);
    demand.apply_relay_share(0.3, now);
    CHECK(demand.engines_for_answers(10, now + milliseconds(1000)) == 3);
    CHECK(demand.engines_for_answers(20, now + milliseconds(1000)) == 6);
    CHECK(demand.answer_share() == std::optional(0.3));
    CHECK(demand.engines_for_answers(10, now + milliseconds(7000)) >= 6);
}

TEST_CASE("reports of other boxes count together with the box's own samples")
{
    EngineDemand demand;
    demand.add(long_answer(1), now);
    CHECK(demand.engines_for_answers(10, now) == 7);
    demand.apply_totals_of_others({ 0, demand.own_totals(now).answer_work * 3 }, now);
    CHECK(demand.engines_for_answers(10, now) == 3);
}

TEST_CASE("prompts leave their home engine while its backlog is too long, and return afterwards")
{
    Engines engines(9);
    auto const request = long_prompt(100, 5);
    auto const home = engines.place(request);
    for (std::uint64_t id = 1; id <= 8; ++id)
        engines.loads[home].started(
            RequestId { id }, long_prompt(100, id), { milliseconds(160), milliseconds(160) }, now);
    CHECK(engines.place(request) != home);
    for (std::uint64_t id = 1; id <= 8; ++id)
        engines.loads[home].ended(RequestId { id }, now);
    CHECK(engines.place(request) == home);
}

TEST_CASE("an engine that reports that it is full is avoided")
{
    Engines engines(9);
    auto const engine = engines.place(long_answer(1));
    engines.loads[engine].update_reported_load({ 64, 10, 64 }, now);
    CHECK(engines.place(long_answer(1)) != engine);
}

TEST_CASE("an engine where work takes longer than usual is avoided, unless the others have long queues")
{
    Engines engines(9);
    auto const engine = engines.place(long_answer(1));
    auto& load = engines.loads[engine];
    for (std::uint64_t box = 1; box <= 30; ++box)
        load.pace().apply_peer(box, { 2.4, 4 }, now);
    CHECK(engines.place(long_answer(1)) != engine);
    for (std::uint32_t other = 1; other <= 9; ++other) {
        if (EndpointId { other } != engine)
            engines.loads[EndpointId { other }].apply_peer(1, seconds(1), 1, now);
    }
    CHECK(engines.place(long_answer(1)) == engine);
}

TEST_CASE("an endpoint that fails part of its requests is avoided")
{
    Engines engines(9);
    auto const engine = engines.place(long_answer(1));
    for (std::uint64_t id = 1; id <= 10; ++id) {
        engines.loads[engine].started(RequestId { id }, {}, {}, now);
        engines.loads[engine].ended(RequestId { id }, now);
        if (id % 2 == 0)
            engines.loads[engine].failed(now);
        else
            engines.loads[engine].succeeded();
    }
    CHECK(engines.place(long_answer(1)) != engine);
}

TEST_CASE("calls to services without engines stay in the failure domain until it is busy")
{
    std::vector<KnownEndpoint> endpoints {
        { EndpointId { 1 }, { "a", "desk", { "10.0.0.1", 80 }, "other", 6, false }, {}, false },
        { EndpointId { 2 }, { "b", "desk", { "10.0.0.2", 80 }, own_domain, 6, false }, {}, false },
    };
    LoadTable loads;
    Workload const workload;
    PlacementQuery const query { workload, false, 0, own_domain, now, {}, {} };
    auto const place = [&] {
        return choose_endpoint({ { &endpoints[0], &endpoints[1] } }, loads, query, {})->endpoint;
    };
    CHECK(place() == EndpointId { 2 });
    for (std::uint64_t id = 1; id <= 6; ++id)
        loads[EndpointId { 2 }].started(RequestId { id }, workload, {}, now);
    CHECK(place() == EndpointId { 1 });
}

TEST_CASE("an endpoint that is silent for longer than expected is avoided before its requests time out")
{
    EndpointLoad load;
    ExpectedTimes const expected { Duration { 0 }, milliseconds(20) };
    load.started(RequestId { 1 }, {}, expected, now);
    CHECK(load.overdue(now + milliseconds(99)) == Duration { 0 });
    CHECK(load.overdue(now + milliseconds(150)) == milliseconds(50));
    // Another answer that began later shows that the endpoint is alive.
    load.started(RequestId { 2 }, {}, expected, now + milliseconds(10));
    load.answered(RequestId { 2 }, Duration { 0 }, now + milliseconds(30));
    CHECK(load.overdue(now + milliseconds(150)) == Duration { 0 });
    load.started(RequestId { 3 }, {}, expected, now + milliseconds(40));
    CHECK(load.overdue(now + milliseconds(200)) == milliseconds(60));
    load.ended(RequestId { 3 }, now);
    CHECK(load.overdue(now + milliseconds(200)) == Duration { 0 });

    Engines engines(9);
    auto const engine = engines.place(long_answer(1));
    engines.loads[engine].started(RequestId { 1 }, long_answer(2), expected, now - seconds(1));
    CHECK(engines.place(long_answer(1)) != engine);
}

TEST_CASE("a prompt part that was not used for a while is not assumed to be cached")
{
    PromptCacheEstimate cache;
    cache.record({ { 1, 100 }, { 2, 100 } }, now);
    CHECK(cache.contains(1, now + seconds(9)));
    CHECK_FALSE(cache.contains(1, now + seconds(11)));
    CHECK_FALSE(cache.contains(3, now));
}
