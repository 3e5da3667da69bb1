#include <TestMain.h>

#include <standin/Behaviour.h>

#include <algorithm>
#include <cstdlib>

using namespace Standin;

namespace {

std::string fault_of(std::string const& text)
{
    Core::LastReason last_reason;
    CHECK_FALSE(read_behaviour(text, last_reason).has_value());
    return last_reason.text;
}

Behaviour behaviour_of(std::string const& text)
{
    Core::LastReason last_reason;
    auto const behaviour = read_behaviour(text, last_reason);
    REQUIRE_MESSAGE(behaviour.has_value(), last_reason.text);
    return *behaviour;
}

}

TEST_CASE("a fault in a behaviour file is named with its line and field")
{
    CHECK(fault_of("seed: 1\nanswers:\n  sometimes: 0.1\n") == "line 3: answers.sometimes: there is no such style");
    CHECK(fault_of("answers:\n  no_http: 1.5\n") == "line 2: answers.no_http: is not a number from 0 to 1");
    CHECK(fault_of("answers:\n  no_http: [1]\n") == "line 2: answers.no_http: is not a number from 0 to 1");
    CHECK(fault_of("answers:\n  no_http: .nan\n") == "line 2: answers.no_http: is not a number from 0 to 1");
    CHECK(fault_of("answers:\n  no_http: 0.7\n  failed: 0.7\n")
        == "line 3: answers.failed: the shares add up to more than 1");
    CHECK(fault_of("answers: often\n") == "line 1: answers: is not a map from styles to shares");
    CHECK(fault_of("seed: x\n") == "line 1: seed: is not a whole number");
    CHECK(fault_of("seed: 1\nrequests: {}\n") == "line 2: requests: there is no such field");
    CHECK(fault_of("- 1\n") == "line 1: document: is not a map");
    CHECK(fault_of("answers: {\n").find("document: ") != std::string::npos);
}

TEST_CASE("each style has a name of its own and differs from the usual one")
{
    std::vector<AnswerStyle> styles;
    for (auto const name : answer_style_names()) {
        CAPTURE(name);
        auto const style = find_answer_style(name);
        REQUIRE(style.has_value());
        CHECK(*style != AnswerStyle {});
        CHECK(std::ranges::find(styles, *style) == styles.end());
        styles.push_back(*style);
    }
    CHECK(styles.size() >= 20);
}

TEST_CASE("styles are drawn as often as their shares say, and the same ones for the same seed")
{
    auto const behaviour = behaviour_of("seed: 7\nanswers:\n  no_http: 0.25\n  failed: 0.5\n");
    AnswerStyles first(behaviour);
    AnswerStyles second(behaviour);
    constexpr int draws = 10'000;
    int garbage = 0;
    int failed = 0;
    for (int draw = 0; draw < draws; ++draw) {
        auto const style = first.draw();
        CHECK(style == second.draw());
        garbage += style.before == AnswerStyle::Before::Garbage ? 1 : 0;
        failed += style.has_failed ? 1 : 0;
    }
    // Five standard deviations.
    constexpr int tolerance = 250;
    CHECK(std::abs(garbage - draws / 4) < tolerance);
    CHECK(std::abs(failed - draws / 2) < tolerance);
}

TEST_CASE("without shares every answer is a usual one")
{
    AnswerStyles styles(behaviour_of("seed: 1\n"));
    CHECK(styles.draw() == AnswerStyle {});
}
