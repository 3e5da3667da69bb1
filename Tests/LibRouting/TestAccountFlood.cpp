// Shares of accounts in virtual time: what the others lose when one account sends ten times its load.

#include <TestMain.h>

#include "AccountLoad.h"

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The first customer's mix at 1.3 times what the engines can read.
AccountLoad::Settings overload()
{
    AccountLoad::Settings settings;
    settings.kinds = mixed_kinds();
    settings.demand = 1.3;
    return settings;
}

/// Three accounts send six times as much as each of the others.
AccountLoad::Settings unequal_overload()
{
    auto settings = overload();
    settings.weights[1] = settings.weights[2] = settings.weights[3] = 6;
    return settings;
}

/// Part of the others' requests that a flood of account 0 keeps from being served, as a mean of several seeds.
double loss_of_others(AccountLoad::Settings settings, std::uint64_t seeds)
{
    double lost = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        settings.seed = seed;
        settings.flood = 1;
        AccountLoad without(settings);
        without.run();
        settings.flood = 10;
        AccountLoad with(settings);
        with.run();
        lost += without.others().served_share() - with.others().served_share();
    }
    return lost / static_cast<double>(seeds);
}

constexpr double twentieth = 0.05;

}

TEST_CASE("an account that sends tenfold into an overload takes less than a twentieth from the others")
{
    for (auto const& load : { overload(), unequal_overload() }) {
        // The usual mix, then urgent questions only, then long reviews only.
        for (auto const priority :
            { std::optional<unsigned> {}, std::optional<unsigned> { 0 }, std::optional<unsigned> { 2 } }) {
            CAPTURE(load.weights[1]);
            CAPTURE(priority.value_or(9));
            auto settings = load;
            settings.flood_priority = priority;
            CHECK(loss_of_others(settings, 5) < twentieth);
        }
    }
}

TEST_CASE("without shares the same flood takes more than a tenth from the others")
{
    auto settings = overload();
    settings.has_shares = false;
    CHECK(loss_of_others(settings, 3) > 0.1);
    settings.flood_priority = 2;
    CHECK(loss_of_others(settings, 3) > 0.1);
}

TEST_CASE("a flood of long reviews is limited too if reports are rare, lost or missing altogether")
{
    auto settings = overload();
    settings.flood_priority = 2;
    settings.boxes = 24;
    for (auto const interval : { milliseconds(100), milliseconds(1000), milliseconds(4000) }) {
        for (double const lost : { 0.0, 0.5, 1.0 }) {
            CAPTURE(interval.count());
            CAPTURE(lost);
            settings.report_interval = interval;
            settings.lost_reports = lost;
            CHECK(loss_of_others(settings, 2) < twentieth);
        }
    }
}

TEST_CASE("a flood into spare capacity is served, and the engines stay as busy as without shares")
{
    auto settings = overload();
    settings.demand = 0.5;
    settings.flood = 10;
    AccountLoad spare(settings);
    spare.run();
    CHECK(spare.others().served_share() > 0.999);
    CHECK(spare.flooder().served_share() > 0.999);
    settings.demand = 0.8;
    settings.flood_priority = 2;
    settings.length = seconds(60);
    AccountLoad with_shares(settings);
    with_shares.run();
    settings.has_shares = false;
    AccountLoad without_shares(settings);
    without_shares.run();
    CHECK(with_shares.others().served_share() > 0.99);
    CHECK(with_shares.tokens_read() > 0.95 * without_shares.tokens_read());
}

TEST_CASE("an account alone at a service is never refused for its share")
{
    for (double const demand : { 0.3, 0.9, 2.0 }) {
        CAPTURE(demand);
        auto settings = overload();
        settings.weights.assign(AccountLoad::account_count, 0);
        settings.weights[0] = 1;
        settings.demand = demand;
        AccountLoad alone(settings);
        alone.run();
        CHECK(alone.flooder().requested > 500);
        CHECK(alone.flooder().refused_for_share == 0);
        if (demand < 0.5)
            CHECK(alone.flooder().served_share() == 1);
    }
}

TEST_CASE("the largest tenth of a kind is served at least half as often as the kind")
{
    auto settings = overload();
    settings.kinds = { { "/usual/", 2, milliseconds(2000), 4000, 384, 0.9 },
        { "/large/", 2, milliseconds(2000), 30'000, 384, 0.1 } };
    settings.length = seconds(60);
    for (double const demand : { 1.1, 1.3, 2.0 }) {
        for (double const flood : { 1, 10 }) {
            CAPTURE(demand);
            CAPTURE(flood);
            settings.demand = demand;
            settings.flood = flood;
            AccountLoad load(settings);
            load.run();
            auto const is_other = [](std::size_t account, std::string const&) { return account != 0; };
            auto const large = load.sum([&](std::size_t account, std::string const& path) {
                return is_other(account, path) && path == "/large/";
            });
            CHECK(large.requested > 150);
            CHECK(large.served_share() > 0.5 * load.others().served_share());
        }
    }
}
