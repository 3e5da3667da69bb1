#include <TestMain.h>

#include "VirtualPool.h"
#include <cmath>

namespace {

using Settings::PolicyName;

/// Runs random arrivals, failures and completions; returns the pool once all requests have ended.
VirtualPool random_history(PolicyName policy, std::uint64_t seed)
{
    VirtualPool pool({ 4, 4, policy, 0.05, seed });
    for (int step = 0; step < 3000; ++step) {
        auto const arrivals = pool.random(step % 1000 < 300 ? 4 : 2);
        for (std::uint32_t arrival = 0; arrival < arrivals; ++arrival) {
            // Drawn one by one: the order in which arguments are evaluated differs between machines.
            auto const request_class = pool.random(5);
            auto const account = pool.random(5);
            auto const streaming = pool.random(2) == 0;
            pool.submit(request_class, account, streaming);
        }
        pool.run_for(0.01);
    }
    pool.run_for(120);
    return pool;
}

/// Fills all slots with requests of lower tiers and sends more urgent ones than there are slots behind them, again
/// and again; returns the pool once all requests have ended.
VirtualPool history_with_urgent_bursts(std::uint64_t seed)
{
    VirtualPool pool({ 4, 4, PolicyName::Cleatbeam, 0.05, seed });
    auto const submit_burst = [&pool](int requests, std::uint32_t first_class, std::uint32_t classes) {
        for (int request = 0; request < requests; ++request) {
            auto const request_class = first_class + pool.random(classes);
            auto const account = pool.random(5);
            pool.submit(request_class, account);
        }
    };
    for (int burst = 0; burst < 20; ++burst) {
        submit_burst(24, 2, 3);
        pool.run_for(0.05);
        submit_burst(32, 0, 2);
        pool.run_for(0.45 + pool.random(10) / 10.0);
    }
    pool.run_for(120);
    return pool;
}

double share_completed(VirtualPool const& pool, std::uint32_t account)
{
    int offered = 0;
    int completed = 0;
    for (auto const& [id, request] : pool.requests) {
        if (request.facts.account != Core::AccountId { account })
            continue;
        ++offered;
        completed += request.concluded.has_value() ? 1 : 0;
    }
    return static_cast<double>(completed) / offered;
}

}

TEST_CASE("each request ends exactly once under every policy")
{
    for (auto const policy : { PolicyName::Cleatbeam, PolicyName::RoundRobinFifo, PolicyName::LeastOutstandingFifo,
             PolicyName::LeastOutstandingStrict }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto const pool = random_history(policy, seed);
            for (auto const& [id, request] : pool.requests)
                REQUIRE(request.ends == 1);
            CHECK(pool.engine.is_idle());
        }
    }
}

TEST_CASE("only repeatable requests of lower tiers are preempted")
{
    auto const check_preempted = [](VirtualPool const& pool) {
        for (auto const id : pool.preempted) {
            auto const& facts = pool.requests.at(id).facts;
            auto const settings = VirtualPool::policy_for({}).classes.at(facts.request_class);
            CHECK(settings.tier.value() > 0);
            CHECK(settings.repeatable);
        }
    };
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        check_preempted(random_history(PolicyName::Cleatbeam, seed));
        auto const pool = history_with_urgent_bursts(seed);
        check_preempted(pool);
        CHECK_FALSE(pool.preempted.empty());
    }
}

TEST_CASE("a non-repeatable request is not preempted where a repeatable one would be")
{
    for (auto const lower : { 2U, 4U }) {
        VirtualPool pool({ 1, 2, PolicyName::Cleatbeam, 0, 3 });
        pool.mean_seconds = 5;
        for (int request = 0; request < 10; ++request) {
            pool.submit(lower, 0);
            pool.run_for(40);
        }
        pool.mean_seconds = 1000;
        pool.submit(lower, 0);
        for (int request = 0; request < 20; ++request)
            pool.submit(0, 1);
        pool.run_for(0.45);
        CHECK(pool.preempted.empty() == (lower == 4));
    }
}

TEST_CASE("a non-repeatable request is dispatched at most once")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        auto const pool = random_history(PolicyName::Cleatbeam, seed);
        for (auto const& [id, request] : pool.requests) {
            if (request.facts.request_class == Core::ClassId { 1 }
                || request.facts.request_class == Core::ClassId { 4 })
                REQUIRE(request.dispatches <= 1);
        }
    }
}

TEST_CASE("a background request completes under continuous urgent load")
{
    VirtualPool pool({ 2, 4, PolicyName::Cleatbeam, 0, 7 });
    pool.run_for(0.01);
    for (int step = 0; step < 4000; ++step) {
        pool.submit(0, step % 3);
        if (step == 1000)
            pool.submit(3, 9);
        pool.run_for(0.01);
    }
    auto const& background = std::ranges::find_if(pool.requests, [](auto const& entry) {
        return entry.second.facts.request_class == Core::ClassId { 3 };
    })->second;
    REQUIRE(background.concluded.has_value());
    CHECK(background.concluded->result == Traffic::AttemptResult::Completed);
}

TEST_CASE("a burst of one account delays only its own requests")
{
    VirtualPool pool({ 2, 4, PolicyName::Cleatbeam, 0, 3 });
    for (int step = 0; step < 1000; ++step) {
        // 8 slots at 0.2 s per request serve 40 requests per second; the first account alone sends 75.
        if (step % 4 != 0)
            pool.submit(2, 0);
        if (step % 20 == 0)
            pool.submit(2, 1);
        pool.run_for(0.01);
    }
    pool.run_for(30);
    CHECK(share_completed(pool, 1) == doctest::Approx(1.0));
    CHECK(share_completed(pool, 0) < 0.9);
}

TEST_CASE("service received while no other account was waiting does not count later")
{
    VirtualPool pool({ 1, 2, PolicyName::Cleatbeam, 0, 3 });
    for (int request = 0; request < 50; ++request) {
        pool.submit(1, 0);
        pool.run_for(2);
    }
    for (int request = 0; request < 6; ++request)
        pool.submit(1, 1);
    pool.submit(1, 0);
    auto const first = pool.requests.rbegin()->first;
    for (int request = 0; request < 6; ++request)
        pool.submit(1, 2);
    pool.run_for(60);
    int ended_before = 0;
    for (auto const& [id, request] : pool.requests)
        ended_before += id > first && request.ended_at < pool.requests.at(first).ended_at ? 1 : 0;
    CHECK(ended_before < 4);
}

TEST_CASE("late requests do not delay requests that can still meet their target")
{
    VirtualPool pool({ 1, 2, PolicyName::Cleatbeam, 0, 3 });
    for (int request = 0; request < 60; ++request)
        pool.submit(1, 0);
    pool.run_for(0.6);
    pool.submit(1, 0);
    auto const last = pool.requests.rbegin()->first;
    pool.run_for(0.5);
    REQUIRE(pool.requests.at(last).dispatches == 1);
    auto const waiting
        = std::ranges::count_if(pool.requests, [](auto const& entry) { return entry.second.dispatches == 0; });
    CHECK(waiting > 10);
}

TEST_CASE("a full queue sheds the newest request of the lowest tier")
{
    constexpr int endpoints = 64;
    constexpr int slots = 64;
    VirtualPool pool({ endpoints, slots, PolicyName::Cleatbeam, 0, 3 });
    auto const queued = [&] { return pool.engine.status().queued; };
    while (queued() < 100)
        pool.submit(1, 0);
    while (queued() < Traffic::max_queue_length)
        pool.submit(3, 1);
    pool.submit(1, 1);
    auto const& urgent = pool.requests.rbegin()->second;
    CHECK_FALSE(urgent.refused.has_value());
    CHECK(queued() == Traffic::max_queue_length);
    int shed = 0;
    for (auto const& [id, request] : pool.requests) {
        if (!request.refused)
            continue;
        ++shed;
        CHECK(request.facts.request_class == Core::ClassId { 3 });
        CHECK(request.refused->reason == Core::Reason::BacklogTooLong);
    }
    CHECK(shed == 1);
}

TEST_CASE("a refusal has a retry delay that depends on the backlog")
{
    VirtualPool pool({ 1, 2, PolicyName::Cleatbeam, 0, 3 });
    for (int request = 0; request < 400; ++request)
        pool.submit(1, 0);
    auto const& last = pool.requests.rbegin()->second;
    REQUIRE(last.refused.has_value());
    CHECK(last.refused->reason == Core::Reason::BacklogTooLong);
    CHECK(last.refused->retry_after > std::chrono::seconds(2));
    CHECK(last.refused->inputs.queued > 10);
}

TEST_CASE("an endpoint that reports it is leaving gets no new requests")
{
    VirtualPool pool({ 2, 4, PolicyName::Cleatbeam, 0, 3 });
    Traffic::LoadReport report { 0, 0, 4, pool.now, true };
    CHECK(pool.engine.apply_report(Core::EndpointId { 0 }, report, pool.now).empty());
    for (int request = 0; request < 50; ++request) {
        pool.submit(2, 0);
        pool.run_for(0.1);
    }
    CHECK(pool.placed_at[Core::EndpointId { 0 }] == 0);
    CHECK(pool.placed_at[Core::EndpointId { 1 }] == 50);
}

TEST_CASE("retries stay within their budget when many attempts fail")
{
    VirtualPool pool({ 4, 8, PolicyName::Cleatbeam, 0.4, 3 });
    int requests = 0;
    for (int step = 0; step < 2000; ++step) {
        pool.submit(2, 0);
        ++requests;
        pool.run_for(0.01);
    }
    pool.run_for(30);
    int dispatches = 0;
    for (auto const& [id, request] : pool.requests)
        dispatches += request.dispatches;
    CHECK(dispatches > requests);
    CHECK(dispatches <= requests * 1.1 + 10);
}
