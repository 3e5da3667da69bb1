#include <TestMain.h>

#include <LibRouting/EngineSpeed.h>

#include <array>
#include <cmath>
#include <limits>
#include <pcg_random.hpp>
#include <random>

namespace {

using namespace Routing;

/// Simulated engines: most requests wait briefly behind others, a few wait long.
struct TrueEngines {
    double tokens_per_millisecond;
    double step_milliseconds;
    pcg32 random { 7 };

    double waiting_factor()
    {
        std::uniform_real_distribution<double> share(0, 1);
        auto const drawn = share(this->random);
        if (drawn < 0.5)
            return 1 + 0.06 * share(this->random);
        return drawn < 0.9 ? 1 + share(this->random) : 1 + 20 * share(this->random);
    }
    void serve(EngineSpeedEstimate& estimate)
    {
        constexpr double tokens = 3000;
        auto const first_piece = tokens / this->tokens_per_millisecond + this->step_milliseconds;
        estimate.add_first_piece(tokens, first_piece * this->waiting_factor());
        constexpr double answer_tokens = 24;
        estimate.add_tokens(answer_tokens, answer_tokens * this->step_milliseconds * this->waiting_factor());
    }
};

bool is_near(double estimate, double truth)
{
    constexpr double tolerance = 0.15;
    return std::abs(estimate / truth - 1) <= tolerance;
}

}

TEST_CASE("speeds 20 times above and below the prior are estimated within 120 samples, and stay so")
{
    constexpr EngineSpeed prior;
    constexpr int enough_samples = 120;
    for (double const factor : { 0.05, 0.2, 1.0, 4.0, 20.0 }) {
        CAPTURE(factor);
        TrueEngines engines { prior.prefill_tokens_per_millisecond * factor, prior.step_milliseconds / factor };
        EngineSpeedEstimate estimate;
        for (int sample = 0; sample < 1000; ++sample) {
            engines.serve(estimate);
            if (sample < enough_samples)
                continue;
            CHECK(is_near(estimate.speed().prefill_tokens_per_millisecond, engines.tokens_per_millisecond));
            CHECK(is_near(estimate.speed().step_milliseconds, engines.step_milliseconds));
        }
    }
}

TEST_CASE("a slowdown by a factor of four is followed within 300 samples, and so is the recovery")
{
    TrueEngines engines { 40, 6 };
    EngineSpeedEstimate estimate;
    auto const serve = [&](int requests) {
        for (int request = 0; request < requests; ++request)
            engines.serve(estimate);
    };
    serve(1000);
    engines.tokens_per_millisecond = 10;
    engines.step_milliseconds = 24;
    serve(300);
    CHECK(is_near(estimate.speed().prefill_tokens_per_millisecond, 10));
    CHECK(is_near(estimate.speed().step_milliseconds, 24));
    engines.tokens_per_millisecond = 40;
    engines.step_milliseconds = 6;
    serve(300);
    CHECK(is_near(estimate.speed().prefill_tokens_per_millisecond, 40));
    CHECK(is_near(estimate.speed().step_milliseconds, 6));
}

TEST_CASE("invalid and uninformative samples leave the estimate unchanged")
{
    EngineSpeedEstimate estimate;
    auto const before = estimate.speed();
    estimate.add_first_piece(200, 1);
    estimate.add_first_piece(1e9, -5);
    estimate.add_first_piece(3000, 0);
    estimate.add_first_piece(3000, std::numeric_limits<double>::infinity());
    estimate.add_tokens(3, 0.01);
    estimate.add_tokens(24, 0);
    estimate.add_tokens(24, std::numeric_limits<double>::quiet_NaN());
    CHECK(estimate.speed() == before);
}

TEST_CASE("one absurd sample among many changes an estimate by less than a tenth")
{
    TrueEngines engines { 40, 6 };
    EngineSpeedEstimate estimate;
    for (int request = 0; request < 1000; ++request)
        engines.serve(estimate);
    auto const before = estimate.speed();
    for (double const absurd : std::array { 1e-9, 1e12 }) {
        auto changed = estimate;
        changed.add_first_piece(3000, absurd);
        changed.add_tokens(24, absurd);
        constexpr double most_change = 0.1;
        CHECK(std::abs(changed.speed().step_milliseconds / before.step_milliseconds - 1) < most_change);
        CHECK(std::abs(changed.speed().prefill_tokens_per_millisecond / before.prefill_tokens_per_millisecond - 1)
            < most_change);
    }
}

TEST_CASE("a box without samples uses the speeds of other boxes, and drops those of silent boxes")
{
    TrueEngines engines { 200, 1.5 };
    EngineSpeedEstimate learnt;
    for (int request = 0; request < 200; ++request)
        engines.serve(learnt);
    auto const now = Core::Instant {} + std::chrono::seconds(100);
    EngineSpeedEstimate fresh;
    fresh.apply_peer(1, { learnt.own_speed(), learnt.samples(), now });
    CHECK(is_near(fresh.speed().prefill_tokens_per_millisecond, 200));
    CHECK(is_near(fresh.speed().step_milliseconds, 1.5));
    CHECK(fresh.own_speed() == EngineSpeed {});
    CHECK(fresh.samples() == 0);
    // A report without samples changes nothing.
    fresh.apply_peer(2, { { 1, 1000 }, 0, now });
    CHECK(is_near(fresh.speed().prefill_tokens_per_millisecond, 200));
    fresh.apply_peer(2, { {}, 0, now + std::chrono::seconds(60) });
    CHECK(is_near(fresh.speed().prefill_tokens_per_millisecond, EngineSpeed {}.prefill_tokens_per_millisecond));
}
