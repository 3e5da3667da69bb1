#include <TestMain.h>

#include <LibRouting/RequestRouter.h>

namespace {

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto const now = Instant {} + seconds(100);

/// A box with an engine, routes of three priorities and accounts "large", "small" and others; another box reports what
/// is queued at the engine and what accounts have sent.
struct Box {
    explicit Box(std::size_t accounts = 10,
        std::array<Duration, 3> const& goals = { milliseconds(500), milliseconds(1200), milliseconds(2000) })
    {
        Configuration contents;
        contents.version = 1;
        contents.accounts.emplace();
        for (std::size_t account = 0; account < accounts; ++account) {
            auto const name = account == 0 ? "large" : account == 1 ? "small" : std::to_string(account);
            contents.accounts->push_back({ name, { "key-" + name }, {} });
        }
        for (unsigned priority = 0; priority < goals.size(); ++priority) {
            Route route;
            route.name = std::to_string(priority);
            route.host = "h";
            route.path_prefix = "/" + route.name + "/";
            route.kind = RouteKind::Streaming;
            route.timeout = seconds(6);
            route.goal = goals[priority];
            route.priority = priority;
            route.services = { { "pool", 1 } };
            contents.routes.push_back(route);
            route.path_prefix = "/public" + route.path_prefix;
            route.is_public = true;
            contents.routes.push_back(route);
        }
        contents.services = { { "pool", 96, EngineTraits { 64, 300'000, 3 } } };
        this->router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(contents)), now);
        this->router.put_endpoint({ "a", "pool", { "10.0.0.1", 80 }, "hall", 64, false }, now);
    }

    /// The engine's queue, and accounts of which "large" holds half of all work while others are refused.
    void report(Duration wait, bool is_flooded = true)
    {
        AccountReport accounts;
        for (auto const* const name : { "small", "2", "3", "4", "5", "6", "7", "8" })
            accounts.largest.push_back({ account_key(name), { 50'000, 30'000 } });
        accounts.largest.push_back({ account_key("large"), { 400'000, 2'000'000 } });
        ServiceReport const service { {}, 0, {}, is_flooded ? accounts : AccountReport {} };
        this->router.apply_load_report(1, { { { "a", wait, 1 } }, { { "pool", service } } }, now);
    }
    [[nodiscard]] std::variant<Placed, Rejected> place(
        std::string const& account, std::string const& path, std::uint32_t prompt_tokens = 500)
    {
        Workload const workload { { { this->next_part++, prompt_tokens } }, prompt_tokens, 10 };
        RequestHead const head { "attempt", "h", path, "key-" + account, seconds(6), workload };
        auto const admitted = std::get<Admitted>(this->router.admit(head, now));
        return this->router.place(admitted, workload, {}, now);
    }
    [[nodiscard]] bool takes(std::string const& account, std::string const& path, std::uint32_t prompt_tokens = 500)
    {
        return std::holds_alternative<Placed>(this->place(account, path, prompt_tokens));
    }
    [[nodiscard]] Reason reason(std::string const& account, std::string const& path, std::uint32_t prompt_tokens = 500)
    {
        auto const decision = this->place(account, path, prompt_tokens);
        auto const* const rejected = std::get_if<Rejected>(&decision);
        return rejected == nullptr ? Reason::None : rejected->reason;
    }

    RequestRouter router { { "hall", {}, {}, {} }, 7 };
    std::uint64_t next_part { 1 };
};

}

TEST_CASE("an account above its share is refused at a wait at which others are admitted")
{
    Box box;
    box.report(milliseconds(800));
    auto const decision = box.place("large", "/2/");
    auto const* const refused = std::get_if<Rejected>(&decision);
    REQUIRE(refused);
    CHECK(refused->reason == Reason::AccountOverShare);
    REQUIRE(refused->standing);
    CHECK(refused->standing->share == doctest::Approx(0.5).epsilon(0.01));
    CHECK(refused->standing->fair_share < 0.3);
    REQUIRE(refused->retry_after);
    CHECK(*refused->retry_after > Duration { 0 });
    CHECK(*refused->retry_after <= seconds(2));
    CHECK(box.takes("small", "/2/"));
    // The wait limit of all accounts is 1.2 s less the prefill.
    box.report(milliseconds(1300));
    CHECK(box.reason("large", "/2/") == Reason::BacklogTooLong);
    CHECK(box.reason("small", "/2/") == Reason::BacklogTooLong);
}

TEST_CASE("an account above its share is admitted at an idle engine, and with a short wait")
{
    Box box;
    box.report(Duration { 0 });
    CHECK(box.takes("large", "/2/", 100'000));
    Box with_short_wait;
    with_short_wait.report(milliseconds(100));
    CHECK(with_short_wait.takes("large", "/2/"));
}

TEST_CASE("shares hold nobody back with a single account, on a public route and without reports")
{
    Box single(1);
    single.report(milliseconds(800));
    CHECK(single.takes("large", "/2/"));
    Box box;
    box.report(milliseconds(800));
    CHECK(box.takes("large", "/public/2/"));
    CHECK_FALSE(box.takes("large", "/2/"));
    box.report(milliseconds(800), false);
    CHECK(box.takes("large", "/2/"));
}

TEST_CASE("an urgent request is never refused for its share while a less urgent one is admitted")
{
    for (int wait = 0; wait <= 1600; wait += 10) {
        CAPTURE(wait);
        for (auto const* const other_account : { "large", "small" }) {
            for (auto const tokens : { 20U, 500U, 6000U, 30'000U }) {
                CAPTURE(tokens);
                Box box;
                box.report(milliseconds(wait));
                bool const takes_urgent = box.takes("large", "/0/", tokens);
                bool const takes_check = box.takes("large", "/1/", tokens);
                CHECK((takes_urgent || !box.takes(other_account, "/1/", tokens)));
                CHECK((takes_urgent || !box.takes(other_account, "/2/", tokens)));
                CHECK((takes_check || !box.takes(other_account, "/2/", tokens)));
            }
        }
        // A short prompt of a less urgent request may wait longer than a long one, but its share is no reason then.
        for (unsigned urgent = 0; urgent < 2; ++urgent) {
            Box box;
            box.report(milliseconds(wait));
            auto const reason = box.reason("large", "/" + std::to_string(urgent) + "/", 30'000);
            CHECK((reason != Reason::AccountOverShare || !box.takes("small", "/2/", 20)));
        }
    }
}

TEST_CASE("an urgent request is never refused for its share beside a less urgent route without a goal")
{
    Box box(10, { milliseconds(3000), milliseconds(500), Duration { 0 } });
    for (int wait = 0; wait <= 1600; wait += 100) {
        CAPTURE(wait);
        box.report(milliseconds(wait));
        CHECK(box.reason("large", "/0/") != Reason::AccountOverShare);
        CHECK(box.takes("large", "/2/"));
    }
    // Without it, the share counts from the limit of the less urgent route on.
    Box limited(10, { milliseconds(3000), milliseconds(500), milliseconds(500) });
    limited.report(milliseconds(290));
    CHECK(limited.takes("large", "/0/"));
    limited.report(milliseconds(1500));
    CHECK(limited.reason("large", "/0/") == Reason::AccountOverShare);
    CHECK(limited.takes("small", "/0/"));
}

TEST_CASE("with urgent floods, urgent requests within their share are admitted a little longer than those above it")
{
    // The limit of all urgent requests is that of the less urgent ones, 1.2 s less a part of the prefill, and one step
    // more for each less urgent priority.
    Box box;
    box.report(milliseconds(1440));
    CHECK_FALSE(box.takes("large", "/0/"));
    CHECK(box.takes("small", "/0/"));
    CHECK_FALSE(box.takes("small", "/1/"));
    CHECK_FALSE(box.takes("small", "/2/"));
    box.report(milliseconds(1310));
    CHECK(box.takes("large", "/0/"));
    CHECK_FALSE(box.takes("large", "/1/"));
    CHECK(box.takes("small", "/1/"));
    CHECK_FALSE(box.takes("small", "/2/"));
    box.report(milliseconds(1520));
    CHECK_FALSE(box.takes("small", "/0/"));
    box.report(milliseconds(1250), false);
    CHECK_FALSE(box.takes("small", "/0/"));
}

TEST_CASE("a box reports what accounts requested and what was admitted")
{
    Box box;
    box.report(milliseconds(1300), false);
    CHECK_FALSE(box.takes("small", "/2/"));
    box.report(Duration { 0 }, false);
    CHECK(box.takes("small", "/2/"));
    CHECK(box.takes("2", "/2/"));
    auto const accounts = box.router.load_report(now).services.at("pool").accounts;
    // 500 prompt tokens, of which half are expected in the cache, and ten answer tokens of 6.25.
    constexpr double work = 312.5;
    REQUIRE(accounts.largest.size() == 2);
    CHECK(accounts.largest[0] == NamedAccountWork { account_key("small"), { work, work } });
    CHECK(accounts.largest[1] == NamedAccountWork { account_key("2"), { work, 0 } });
    CHECK(accounts.rest == AccountWork {});
}

TEST_CASE("reports of accounts and services that the configuration lacks have no effect")
{
    Box box;
    box.report(milliseconds(800));
    CHECK_FALSE(box.takes("large", "/2/"));
    AccountReport made_up;
    for (std::uint32_t account = 0; account < 16; ++account)
        made_up.largest.push_back({ AccountKey { account }, { 1e9, 1e9 } });
    for (std::uint64_t other = 2; other < 200; ++other) {
        ServiceReport const service { {}, 0, {}, made_up };
        box.router.apply_load_report(
            other, { {}, { { "pool", service }, { "made-up-" + std::to_string(other), service } } }, now);
    }
    CHECK_FALSE(box.takes("large", "/2/"));
    CHECK(box.takes("small", "/2/"));
}

TEST_CASE("reports of many services leave room for those that this box has requests for")
{
    Configuration contents;
    contents.version = 1;
    contents.accounts = { { "large", { "key-large" }, {} }, { "small", { "key-small" }, {} } };
    for (int index = 0; index < 5000; ++index)
        contents.services.push_back({ "pool-" + std::to_string(index), 96, EngineTraits { 64, 300'000, 3 } });
    Route route;
    route.host = "h";
    route.path_prefix = "/";
    route.timeout = seconds(6);
    route.services = { { "pool-4999", 1 } };
    contents.routes = { route };
    RequestRouter router({ "hall", {}, {}, {} }, 7);
    router.offer_configuration(std::make_shared<ConfigurationSnapshot const>(std::move(contents)), now);
    router.put_endpoint({ "a", "pool-4999", { "10.0.0.1", 80 }, "hall", 64, false }, now);
    ServiceReport const report { {}, 0, {}, { { { account_key("large"), { 1000, 1000 } } }, {} } };
    for (std::uint64_t index = 0; index < 5000; ++index)
        router.apply_load_report(index + 1, { {}, { { "pool-" + std::to_string(index), report } } }, now);
    Workload const workload { { { 1, 500 } }, 500, 10 };
    auto const decision = router.admit({ "attempt", "h", "/x", "key-small", seconds(6), workload }, now);
    REQUIRE(std::holds_alternative<Placed>(router.place(std::get<Admitted>(decision), workload, {}, now)));
    auto const services = router.load_report(now).services;
    CHECK(services.at("pool-4999").accounts.largest.size() == 1);
}

TEST_CASE("a request that another box admitted and forwarded is counted there as requested, here as admitted")
{
    Box box;
    Workload const workload { { { 1, 500 } }, 500, 10 };
    RequestHead const head { "attempt", "h", "/2/", "key-small", seconds(6), workload, "pool" };
    auto const admitted = std::get<Admitted>(box.router.admit(head, now));
    REQUIRE(std::holds_alternative<Placed>(box.router.place(admitted, workload, {}, now)));
    auto const accounts = box.router.load_report(now).services.at("pool").accounts;
    REQUIRE(accounts.largest.size() == 1);
    CHECK(accounts.largest.front() == NamedAccountWork { account_key("small"), { 312.5, 0 } });
    // The work counts as demand too, though the request was counted elsewhere.
    CHECK(box.takes("2", "/2/"));
    CHECK(box.router.load_report(now).services.at("pool").accounts.largest.size() == 2);
}
