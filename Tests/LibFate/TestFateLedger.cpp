#include <TestMain.h>

#include <LibFate/FateLedger.h>
#include <algorithm>
#include <map>
#include <pcg_random.hpp>

namespace {

using Core::Offset;
using Core::Outcome;
using Core::Reason;

constexpr std::int64_t now = 1'700'000'000'000;
constexpr Fate::FateLimits limits;

Fate::FateLedger ledger_with_history(std::uint64_t incarnation)
{
    Fate::FateLedger ledger(Fate::Incarnation { incarnation }, limits);
    ledger.set_history_start(0);
    return ledger;
}

Fate::KeyRequest request(std::uint64_t key = 1, std::int64_t created = now, std::uint64_t fingerprint = 5)
{
    return { { 0, key }, created, fingerprint };
}

Fate::Claim claim_of(Fate::Verdict const& verdict)
{
    REQUIRE(std::holds_alternative<Fate::MustClaim>(verdict));
    return std::get<Fate::MustClaim>(verdict).claim;
}

Fate::Rejection rejection_of(Fate::Verdict const& verdict)
{
    REQUIRE(std::holds_alternative<Fate::Rejection>(verdict));
    return std::get<Fate::Rejection>(verdict);
}

}

TEST_CASE("a claim is sent only after it was read back as the first record, and only once")
{
    auto one = ledger_with_history(1);
    auto two = ledger_with_history(2);
    auto const first = claim_of(one.check_or_claim(request(), now));
    auto const second = claim_of(two.check_or_claim(request(), now));
    CHECK_FALSE(one.try_send(first));
    for (auto* ledger : { &one, &two }) {
        CHECK(ledger->apply(Offset { 7 }, first, now).empty());
        CHECK(ledger->apply(Offset { 8 }, second, now).empty());
    }
    CHECK(two.state_of(second) == Fate::ClaimState::Lost);
    CHECK_FALSE(two.try_send(second));
    CHECK(one.try_send(first));
    CHECK_FALSE(one.try_send(first));
    CHECK(std::get<Fate::HeldByOther>(two.current_verdict(first.key)).holder == first.claimant);
}

TEST_CASE("a claim read back after it was given up is never sent and is settled as not run")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK_FALSE(ledger.give_up(claim).has_value());
    auto const to_append = ledger.apply(Offset { 3 }, claim, now);
    REQUIRE(to_append.size() == 1);
    CHECK(std::get<Fate::Settled>(to_append[0]).result == Fate::Result::NotRun);
    CHECK_FALSE(ledger.try_send(claim));
    CHECK(ledger.apply(Offset { 4 }, to_append[0], now).empty());
    CHECK(rejection_of(ledger.check_or_claim(request(), now)).outcome == Outcome::NotRun);
}

TEST_CASE("giving up a claim that was read back settles it as not run at once")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK(ledger.apply(Offset { 3 }, claim, now).empty());
    auto const record = ledger.give_up(claim);
    REQUIRE(record.has_value());
    CHECK(std::get<Fate::Settled>(*record).result == Fate::Result::NotRun);
    CHECK_FALSE(ledger.try_send(claim));
}

TEST_CASE("a kept answer is replayed; without one the outcome is unknown")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK(ledger.apply(Offset { 3 }, claim, now).empty());
    Fate::Settled const settled { claim.key, claim.claimant, Fate::Result::Completed, 200, "text/plain", "answer",
        true };
    CHECK(ledger.apply(Offset { 4 }, settled, now).empty());
    CHECK(std::get<Fate::Replay>(ledger.check_or_claim(request(), now)).settled.body == "answer");
    auto const other = claim_of(ledger.check_or_claim(request(2), now));
    CHECK(ledger.apply(Offset { 5 }, other, now).empty());
    Fate::Settled const not_kept { other.key, other.claimant, Fate::Result::Completed, 200, "text/plain", "", false };
    CHECK(ledger.apply(Offset { 6 }, not_kept, now).empty());
    CHECK(rejection_of(ledger.check_or_claim(request(2), now))
        == Fate::Rejection { Outcome::Unknown, Reason::AnswerNotKept });
}

TEST_CASE("a settlement by another claimant has no effect")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK(ledger.apply(Offset { 3 }, claim, now).empty());
    Fate::Settled const strange { claim.key, { Fate::Incarnation { 9 }, 1 }, Fate::Result::NotRun, 0, "", "", false };
    CHECK(ledger.apply(Offset { 4 }, strange, now).empty());
    CHECK(std::holds_alternative<Fate::HeldByOther>(ledger.current_verdict(claim.key)));
}

TEST_CASE("a voided key never runs, and a later claim loses")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK(ledger.apply(Offset { 2 }, Fate::Void { claim.key }, now).empty());
    CHECK(ledger.apply(Offset { 3 }, claim, now).empty());
    CHECK_FALSE(ledger.try_send(claim));
    CHECK(
        rejection_of(ledger.check_or_claim(request(), now)) == Fate::Rejection { Outcome::NotRun, Reason::KeyVoided });
}

TEST_CASE("keys from the future, too old, of unread history or of another request are rejected")
{
    Fate::FateLedger ledger(Fate::Incarnation { 1 }, limits);
    constexpr std::int64_t day = 24LL * 3600 * 1000;
    CHECK(rejection_of(ledger.check_or_claim(request(1, now + day), now))
        == Fate::Rejection { Outcome::Undecided, Reason::KeyFromFuture });
    CHECK(rejection_of(ledger.check_or_claim(request(1, now - day - 1), now))
        == Fate::Rejection { Outcome::Unknown, Reason::KeyTooOld });
    CHECK(rejection_of(ledger.check_or_claim(request(1, now), now))
        == Fate::Rejection { Outcome::Undecided, Reason::KeyHistoryNotRead });
    ledger.set_history_start(now - 2 * limits.max_clock_skew);
    CHECK(rejection_of(ledger.check_or_claim(request(1, now - 1), now)).reason == Reason::KeyHistoryNotRead);
    auto const claim = claim_of(ledger.check_or_claim(request(1, now), now));
    CHECK(rejection_of(ledger.check_or_claim(request(1, now, 6), now)).reason == Reason::KeyReusedForOtherRequest);
    CHECK(ledger.apply(Offset { 1 }, claim, now).empty());
    CHECK(rejection_of(ledger.check_or_claim(request(1, now, 6), now)).reason == Reason::KeyReusedForOtherRequest);
}

TEST_CASE("an older part of the log decides even if it is read later")
{
    auto ledger = ledger_with_history(1);
    Fate::Claim const older { { 0, 1 }, { Fate::Incarnation { 2 }, 1 }, 5 };
    Fate::Claim const newer { { 0, 1 }, { Fate::Incarnation { 3 }, 1 }, 5 };
    Fate::Settled const settled { { 0, 1 }, older.claimant, Fate::Result::Completed, 200, "text/plain", "answer",
        true };
    CHECK(ledger.apply(Offset { 20 }, newer, now).empty());
    CHECK(ledger.apply(Offset { 30 }, settled, now).empty());
    CHECK(ledger.apply(Offset { 10 }, older, now).empty());
    CHECK(std::holds_alternative<Fate::Replay>(ledger.current_verdict(older.key)));
}

TEST_CASE("expired keys are removed and then rejected as too old, never claimed again")
{
    auto ledger = ledger_with_history(1);
    auto const claim = claim_of(ledger.check_or_claim(request(), now));
    CHECK(ledger.apply(Offset { 1 }, claim, now).empty());
    auto const later = now + limits.max_key_age + 2 * limits.max_clock_skew + 1;
    ledger.remove_expired(later);
    CHECK(ledger.size() == 0);
    CHECK(rejection_of(ledger.check_or_claim(request(), later)).reason == Reason::KeyTooOld);
}

TEST_CASE("the total size of kept answers is limited")
{
    auto bounded = limits;
    bounded.max_kept_bytes = 25;
    Fate::FateLedger ledger(Fate::Incarnation { 1 }, bounded);
    ledger.set_history_start(0);
    for (std::uint64_t key = 1; key <= 5; ++key) {
        auto const claim = claim_of(ledger.check_or_claim(request(key), now));
        CHECK(ledger.apply(Offset { 2 * key }, claim, now).empty());
        CHECK(ledger
                  .apply(Offset { 2 * key + 1 },
                      Fate::Settled {
                          claim.key, claim.claimant, Fate::Result::Completed, 200, "", std::string(10, 'x'), true },
                      now)
                  .empty());
    }
    CHECK(rejection_of(ledger.check_or_claim(request(1), now)).reason == Reason::AnswerNotKept);
    CHECK(std::holds_alternative<Fate::Replay>(ledger.check_or_claim(request(5), now)));
}

TEST_CASE("with random delays and restarts, a key is sent at most once and never if reported as not run")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        pcg32 random(seed);
        std::vector<Fate::FateLedger> boxes;
        std::vector<std::size_t> read_to(3, 0);
        for (std::uint64_t box = 0; box < 3; ++box)
            boxes.push_back(ledger_with_history(seed * 100 + box));
        std::vector<Fate::Record> log;
        std::vector<Fate::Record> delayed;
        std::vector<std::pair<std::size_t, Fate::Claim>> waiting;
        std::map<Fate::Key, int> sent;
        std::map<Fate::Key, bool> reported_not_run;
        for (int step = 0; step < 200; ++step) {
            auto const box = random(3);
            switch (random(7)) {
            case 0: {
                auto const verdict = boxes[box].check_or_claim(request(random(3)), now);
                if (auto const* must = std::get_if<Fate::MustClaim>(&verdict)) {
                    waiting.emplace_back(box, must->claim);
                    (random(2) == 0 ? log : delayed).push_back(must->claim);
                }
                break;
            }
            case 1:
                if (!delayed.empty()) {
                    auto const late = random(static_cast<std::uint32_t>(delayed.size()));
                    log.push_back(delayed[late]);
                    delayed.erase(delayed.begin() + late);
                }
                break;
            case 2:
            case 3:
                if (read_to[box] < log.size()) {
                    auto const offset = read_to[box]++;
                    for (auto const& record : boxes[box].apply(Offset { offset }, log[offset], now))
                        log.push_back(record);
                }
                break;
            case 4:
                for (auto const& [owner, claim] : waiting)
                    sent[claim.key] += owner == box && boxes[box].try_send(claim) ? 1 : 0;
                break;
            case 5:
                if (!waiting.empty()) {
                    auto const& [owner, claim] = waiting[random(static_cast<std::uint32_t>(waiting.size()))];
                    if (auto const record = boxes[owner].give_up(claim))
                        log.push_back(*record);
                }
                break;
            default:
                if (random(10) == 0) {
                    // Restart: a new incarnation reads the log from the start.
                    boxes[box] = ledger_with_history(seed * 1000 + static_cast<std::uint64_t>(step));
                    read_to[box] = 0;
                    std::erase_if(waiting, [&](auto const& entry) { return entry.first == box; });
                }
            }
            for (std::uint64_t key = 0; key < 3; ++key) {
                auto const verdict = boxes[box].current_verdict({ 0, key });
                if (auto const* answer = std::get_if<Fate::Rejection>(&verdict))
                    reported_not_run[{ 0, key }] |= answer->outcome == Outcome::NotRun;
            }
        }
        for (auto const& [key, times] : sent) {
            REQUIRE(times <= 1);
            REQUIRE_FALSE((times > 0 && reported_not_run[key]));
        }
    }
}

TEST_CASE("only a UUIDv7 has a creation time")
{
    CHECK(Fate::creation_time_of("018bcfe5-6800-7123-8abc-0123456789ab") == 1'700'000'000'000);
    for (auto const* bad : { "", "018bcfe5-6800-4123-8abc-0123456789ab", "018bcfe5-6800-7123-cabc-0123456789ab",
             "018bcfe568007123-8abc-0123456789ab0", "g18bcfe5-6800-7123-8abc-0123456789ab" })
        CHECK_FALSE(Fate::creation_time_of(bad).has_value());
}

TEST_CASE("an encoded batch decodes to the same value")
{
    Fate::Claimant const claimant { Fate::Incarnation { 77 }, 3 };
    Fate::Batch const batch { now,
        { Fate::Claim { { 1, 2 }, claimant, 9 }, Fate::Void { { 3, 4 } },
            Fate::Settled { { 1, 2 }, claimant, Fate::Result::Completed, 201, "application/json", "{}", true } } };
    CHECK(Fate::Batch::try_decode(batch.encode()) == batch);
    CHECK_FALSE(Fate::Batch::try_decode("\xff\xff").has_value());
}
