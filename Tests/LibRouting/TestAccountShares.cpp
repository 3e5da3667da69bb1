#include <TestMain.h>

#include <LibRouting/AccountShares.h>
#include <cmath>
#include <limits>
#include <pcg_random.hpp>
#include <random>
#include <string>

namespace {

using namespace Routing;
using Core::Duration;
using Core::Instant;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const start = Instant {} + seconds(100);

AccountKey key(std::size_t number)
{
    return account_key("account-" + std::to_string(number));
}

/// Counts equal requests of an account within the last second, of which some are admitted.
void add_requests(AccountShares& shares, AccountKey account, int requested, int admitted, double work, Instant now)
{
    for (int index = 0; index < requested; ++index) {
        auto const at = now - seconds(1) + milliseconds(1000 * index / requested);
        shares.add_requested(account, work, at);
        if (index * admitted / requested != (index + 1) * admitted / requested)
            shares.add_admitted(account, work, at);
    }
}

AccountReport report_of(std::vector<NamedAccountWork> largest, AccountWork rest = {})
{
    return { std::move(largest), rest };
}

bool is_valid(AccountStanding const& standing)
{
    return standing.limit_factor >= AccountShares::min_limit_factor && standing.limit_factor <= 1
        && std::isfinite(standing.share) && std::isfinite(standing.fair_share);
}

}

TEST_CASE("in an overload an account above its fair share gets a shorter limit, the others get theirs")
{
    AccountShares shares;
    for (std::size_t other = 1; other <= 9; ++other)
        add_requests(shares, key(other), 100, 70, 50, start);
    add_requests(shares, key(0), 2000, 700, 50, start);
    auto const flooder = shares.standing(key(0), 10, start);
    CHECK(flooder.limit_factor < 0.5);
    CHECK(flooder.is_flooded);
    // 700 of 1,330 requests, of which an equal share for all is a tenth; the others request less.
    CHECK(flooder.share == doctest::Approx(0.526).epsilon(0.01));
    CHECK(flooder.fair_share < 0.4);
    for (std::size_t other = 1; other <= 9; ++other)
        CHECK_FALSE(shares.standing(key(other), 10, start).is_over_share());
}

TEST_CASE("an account that uses what the others don't request keeps nearly all of its limit")
{
    AccountShares shares;
    for (std::size_t other = 1; other <= 9; ++other)
        add_requests(shares, key(other), 20, 20, 50, start);
    add_requests(shares, key(0), 2000, 800, 50, start);
    CHECK(shares.standing(key(0), 10, start).limit_factor > 0.9);
    for (std::size_t other = 1; other <= 9; ++other)
        CHECK(shares.standing(key(other), 10, start).limit_factor == 1);
}

TEST_CASE("a single account, and a box without any history, hold nobody back")
{
    AccountShares shares;
    CHECK(shares.standing(key(0), 24, start) == AccountStanding {});
    add_requests(shares, key(0), 1000, 100, 50, start);
    CHECK_FALSE(shares.standing(key(0), 24, start).is_over_share());
    CHECK_FALSE(shares.standing(key(1), 24, start).is_over_share());
}

TEST_CASE("equal accounts that send at random stay within their shares although none gets all that it requests")
{
    AccountShares shares;
    pcg32 random(5);
    std::size_t over = 0;
    std::size_t decisions = 0;
    for (auto now = start; now < start + seconds(60); now += milliseconds(50)) {
        auto const account = key(random(24));
        shares.add_requested(account, 1000, now);
        ++decisions;
        over += shares.standing(account, 24, now).is_over_share() ? 1 : 0;
        if (random(10) < 8)
            shares.add_admitted(account, 1000, now);
    }
    // A limit that follows every random difference would refuse clients for nothing.
    CHECK(static_cast<double>(over) < 0.06 * static_cast<double>(decisions));
}

TEST_CASE("an account whose single request exceeds its share is served again within seconds")
{
    AccountShares shares;
    pcg32 random(7);
    constexpr double large = 40'000;
    constexpr double small = 1000;
    auto next_large = start;
    std::size_t served = 0;
    for (auto now = start; now < start + seconds(120); now += milliseconds(50)) {
        auto const other = key(1 + random(23));
        shares.add_requested(other, small, now);
        if (random(10) < 8)
            shares.add_admitted(other, small, now);
        if (now < next_large)
            continue;
        shares.add_requested(key(0), large, now);
        next_large = now + seconds(5);
        if (shares.standing(key(0), 24, now).is_over_share())
            continue;
        shares.add_admitted(key(0), large, now);
        ++served;
    }
    // Its share is some 800 a second, so a request of 40,000 in 50 s would use it up exactly; with what accounts may
    // exceed their shares by chance it is somewhat more. Without a turn it would be none.
    CHECK(served >= 3);
    CHECK(served <= 16);
}

TEST_CASE("an account that spreads its flood over many boxes is found by the reports of the others")
{
    AccountShares shares;
    for (std::size_t other = 0; other < 10; ++other)
        add_requests(shares, key(other), 5, 4, 50, start);
    CHECK_FALSE(shares.standing(key(0), 10, start).is_over_share());
    for (std::uint64_t box = 1; box <= 80; ++box) {
        std::vector<NamedAccountWork> named;
        for (std::size_t other = 0; other < 10; ++other)
            named.push_back({ key(other), other == 0 ? AccountWork { 800, 1200 } : AccountWork { 180, 70 } });
        shares.apply_peer(box, report_of(named), start);
    }
    CHECK(shares.standing(key(0), 10, start).limit_factor < 0.6);
    CHECK_FALSE(shares.standing(key(1), 10, start).is_over_share());
}

TEST_CASE("accounts that reports only sum up are granted their demand before a named one gets the rest")
{
    AccountShares shares;
    add_requests(shares, key(0), 100, 60, 50, start);
    shares.apply_peer(1, report_of({ { key(0), { 5000, 5000 } } }, { 10'000, 0 }), start);
    auto const satisfied = shares.standing(key(0), 5000, start);
    shares.apply_peer(1, report_of({ { key(0), { 5000, 5000 } } }, { 10'000, 5000 }), start);
    auto const unsatisfied = shares.standing(key(0), 5000, start);
    CHECK(satisfied.limit_factor > 0.8);
    CHECK(unsatisfied.limit_factor < 0.5);
}

TEST_CASE("a report replaces the earlier one of its box, and is forgotten when no further one arrives")
{
    AccountShares shares;
    for (std::size_t other = 1; other < 10; ++other)
        add_requests(shares, key(other), 10, 7, 50, start);
    add_requests(shares, key(0), 10, 7, 50, start);
    auto const alone = shares.standing(key(0), 10, start);
    auto const flood = report_of({ { key(0), { 5000, 5000 } } });
    shares.apply_peer(1, flood, start);
    auto const once = shares.standing(key(0), 10, start);
    CHECK(once.is_over_share());
    shares.apply_peer(1, flood, start);
    CHECK(shares.standing(key(0), 10, start).share == doctest::Approx(once.share));
    shares.apply_peer(1, {}, start);
    CHECK(shares.standing(key(0), 10, start).share == doctest::Approx(alone.share));
    shares.apply_peer(1, flood, start);
    CHECK(shares.standing(key(0), 10, start + seconds(5)).is_over_share());
    // A box that was cut off from all others decides by its own counts again.
    CHECK(shares.standing(key(0), 10, start + seconds(7)).share == doctest::Approx(alone.share));
    CHECK(shares.peer_count() == 0);
}

TEST_CASE("odd amounts and made-up names neither break the sums nor take up memory")
{
    AccountShares shares;
    for (std::size_t other = 0; other < 10; ++other)
        add_requests(shares, key(other), 20, 15, 50, start);
    auto const before = shares.standing(key(3), 10, start);
    std::vector const odd { std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(),
        -std::numeric_limits<double>::infinity(), -1.0, 1e300, std::numeric_limits<double>::denorm_min() };
    std::uint64_t box = 1;
    for (auto const admitted : odd) {
        for (auto const refused : odd) {
            shares.apply_peer(box++, report_of({ { key(3), { admitted, refused } } }, { refused, admitted }), start);
            for (std::size_t account = 0; account < 12; ++account)
                CHECK(is_valid(shares.standing(key(account), 10, start)));
        }
    }
    pcg32 random(11);
    for (; box < 10'000; ++box) {
        std::vector<NamedAccountWork> made_up(40);
        for (auto& named : made_up)
            named = { AccountKey { random() }, { 1e9, 1e9 } };
        shares.apply_peer(box, report_of(made_up), start);
    }
    CHECK(shares.account_count() <= 8192);
    CHECK(shares.peer_count() <= 2048);
    CHECK(is_valid(shares.standing(key(3), 10, start)));
    // Everything from other boxes expires, however much it was, and what this box counted itself is left.
    auto now = start + seconds(7);
    for (int call = 0; call < 200; ++call)
        static_cast<void>(shares.standing(key(3), 10, now));
    CHECK(shares.peer_count() == 0);
    CHECK(shares.account_count() == 10);
    CHECK(shares.standing(key(3), 10, now).share == doctest::Approx(before.share).epsilon(0.001));
    CHECK(shares.standing(key(3), 10, now).fair_share == doctest::Approx(before.fair_share).epsilon(0.001));
}

TEST_CASE("accounts beyond the limit are not counted and not held back")
{
    AccountShares shares;
    for (std::size_t account = 0; account < 20'000; ++account) {
        shares.add_requested(key(account), 100, start);
        shares.add_admitted(key(account), 100, start);
    }
    CHECK(shares.account_count() <= 16'384);
    CHECK_FALSE(shares.standing(key(19'999), 20'000, start).is_over_share());
}

TEST_CASE("a report names the largest accounts only and sums up the others")
{
    AccountShares shares;
    for (std::size_t account = 0; account < 5000; ++account)
        add_requests(shares, key(account), 1, 1, 50, start);
    for (std::size_t account = 0; account < 5; ++account)
        add_requests(shares, key(account), 2000, 1000, 50, start);
    auto const report = shares.own_report(start);
    CHECK(report.largest.size() == 5);
    CHECK(report.rest.admitted == doctest::Approx(4995 * 50 * std::exp2(-0.25)).epsilon(0.01));
    CHECK(report.rest.refused == doctest::Approx(0));
    for (auto const& named : report.largest) {
        CHECK(named.work.admitted == doctest::Approx(1000 * 50 * std::exp2(-0.125)).epsilon(0.02));
        CHECK(named.work.refused == doctest::Approx(1000 * 50 * std::exp2(-0.125)).epsilon(0.02));
    }
    AccountShares few;
    for (std::size_t account = 0; account < 24; ++account)
        add_requests(few, key(account), 10, 10, 50, start);
    CHECK(few.own_report(start).largest.size() == AccountShares::max_named);
    CHECK(few.own_report(start).rest.admitted > 0);
    CHECK(AccountShares().own_report(start).is_empty());
}

TEST_CASE("accounts that send nothing any more, such as removed ones, are dropped")
{
    AccountShares shares;
    for (std::size_t account = 0; account < 100; ++account)
        add_requests(shares, key(account), 5, 5, 50, start);
    auto now = start;
    for (int step = 0; step < 1200; ++step) {
        now += seconds(1);
        shares.add_requested(key(1), 50, now);
        shares.add_admitted(key(1), 50, now);
    }
    CHECK(shares.account_count() == 1);
}

TEST_CASE("the sums are right after days, and after hours of suspension")
{
    AccountShares shares;
    auto now = start;
    for (int step = 0; step < 100'000; ++step) {
        now += milliseconds(1700);
        auto const account = key(static_cast<std::size_t>(step % 10));
        shares.add_requested(account, 100, now);
        shares.add_admitted(account, 100, now);
        if (step % 7 == 0)
            shares.apply_peer(1 + static_cast<std::uint64_t>(step % 3), report_of({ { key(2), { 50, 10 } } }), now);
        REQUIRE(is_valid(shares.standing(account, 10, now)));
    }
    now += hours(100);
    CHECK(shares.own_report(now).rest.admitted == doctest::Approx(0));
    add_requests(shares, key(0), 100, 100, 50, now + seconds(1));
    add_requests(shares, key(1), 100, 100, 50, now + seconds(1));
    CHECK(shares.standing(key(0), 10, now + seconds(1)).share == doctest::Approx(0.5).epsilon(0.01));
    CHECK(shares.account_count() == 2);
}

TEST_CASE("the fair share agrees with one computed by sorting all demands")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        AccountShares shares;
        auto const count = 2 + random(40);
        std::vector<double> demands;
        double admitted = 0;
        for (std::size_t account = 0; account < count; ++account) {
            auto const requested = std::exp2(random(12)) * 100;
            auto const served = requested * (0.3 + 0.7 * std::ldexp(random(), -32));
            shares.add_requested(key(account), requested, start);
            shares.add_admitted(key(account), served, start);
            demands.push_back(requested * 1.05);
            admitted += served;
        }
        std::ranges::sort(demands);
        auto left = admitted;
        double level = 0;
        for (std::size_t index = 0; index < count; ++index) {
            level = left / static_cast<double>(count - index);
            if (level < demands[index])
                break;
            left -= demands[index];
        }
        auto const fair = shares.standing(key(0), count, start).fair_share * admitted;
        // The accounts are sorted into groups whose demands differ by up to an eighth.
        CHECK(fair == doctest::Approx(level).epsilon(0.13));
    }
}
