#include <LibFate/FateLedger.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Fate {

using Core::Outcome;
using Core::Reason;

std::optional<Verdict> FateLedger::peek(KeyRequest const& request, std::int64_t now) const
{
    if (request.created_milliseconds > now + this->limits.allowance)
        return Answer { Outcome::Undecided, Reason::KeyFromFuture };
    if (request.created_milliseconds < now - this->limits.window)
        return Answer { Outcome::Unknown, Reason::KeyTooOld };
    auto const found = this->fates.find(request.key);
    if (found != this->fates.end()) {
        auto const& claim = found->second.claim;
        if (claim && claim->fingerprint != request.fingerprint)
            return Answer { Outcome::NotRun, Reason::KeyReusedForOtherRequest };
        return this->verdict_of(found->second);
    }
    // NOTE: A record of this key can't be older than the key itself less the allowance, and the stamps on records may
    // be off by the allowance again.
    if (!this->history_start || request.created_milliseconds < *this->history_start + 2 * this->limits.allowance)
        return Answer { Outcome::Undecided, Reason::KeyHistoryNotRead };
    auto const under_way = this->claims_under_way.find(request.key);
    if (under_way != this->claims_under_way.end()) {
        if (under_way->second.fingerprint != request.fingerprint)
            return Answer { Outcome::NotRun, Reason::KeyReusedForOtherRequest };
        return HeldByOther { under_way->second.claimant };
    }
    return {};
}

Verdict FateLedger::ask(KeyRequest const& request, std::int64_t now)
{
    if (auto const known = this->peek(request, now))
        return *known;
    Claim const claim { request.key, { this->own, this->next_sequence++ }, request.fingerprint };
    this->own_claims.emplace(claim.claimant.sequence, OwnClaim { false, false, now });
    this->claims_under_way.emplace(request.key, claim);
    return MustClaim { claim };
}

Verdict FateLedger::look(Key const& key) const
{
    auto const found = this->fates.find(key);
    if (found != this->fates.end())
        return this->verdict_of(found->second);
    auto const under_way = this->claims_under_way.find(key);
    if (under_way != this->claims_under_way.end())
        return HeldByOther { under_way->second.claimant };
    return Answer { Outcome::Undecided, Reason::ClaimNotReadBack };
}

Verdict FateLedger::verdict_of(KeyFate const& fate) const
{
    if (fate.is_void)
        return Answer { Outcome::NotRun, Reason::KeyVoided };
    VERIFY(fate.claim.has_value());
    if (!fate.settled)
        return HeldByOther { fate.claim->claimant };
    switch (fate.settled->result) {
    case Result::NotRun:
        return Answer { Outcome::NotRun, Reason::ClaimantEnded };
    case Result::Completed:
        if (fate.settled->body_kept)
            return Replay { *fate.settled };
        return Answer { Outcome::Unknown, Reason::AnswerNotKept };
    case Result::Unknown:
        break;
    }
    return Answer { Outcome::Unknown, Reason::ClaimantEnded };
}

std::vector<Record> FateLedger::apply(Core::Offset offset, Record const& record, std::int64_t appended_milliseconds)
{
    std::vector<Record> to_append;
    if (auto const* settled = std::get_if<Settled>(&record)) {
        this->apply_settled({ *settled, appended_milliseconds });
        return to_append;
    }
    if (auto const* voiding = std::get_if<Void>(&record)) {
        this->apply_decision(offset, voiding->key, {}, appended_milliseconds);
        return to_append;
    }
    auto const& claim = std::get<Claim>(record);
    this->apply_decision(offset, claim.key, claim, appended_milliseconds);
    if (claim.claimant.incarnation != this->own)
        return to_append;
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    auto const is_late = own_claim != this->own_claims.end() && own_claim->second.given_up && !own_claim->second.sent;
    if (is_late && this->has_won(claim))
        to_append.emplace_back(Settled { claim.key, claim.claimant, Result::NotRun, 0, "", "", false });
    return to_append;
}

void FateLedger::apply_decision(
    Core::Offset offset, Key const& key, std::optional<Claim> const& claim, std::int64_t appended_milliseconds)
{
    auto [at, is_new] = this->fates.try_emplace(key);
    auto& fate = at->second;
    if (!is_new && offset >= fate.decided_at)
        return;
    fate = { offset, claim, !claim.has_value(), {}, appended_milliseconds };
    auto const early = this->early_settlements.find(key);
    if (early == this->early_settlements.end())
        return;
    auto const settlements = std::move(early->second);
    this->early_settlements.erase(early);
    for (auto const& settlement : settlements)
        this->apply_settled(settlement);
}

void FateLedger::apply_settled(EarlySettlement const& settlement)
{
    auto const& settled = settlement.settled;
    auto const found = this->fates.find(settled.key);
    auto const is_holders
        = found != this->fates.end() && found->second.claim && found->second.claim->claimant == settled.claimant;
    if (!is_holders) {
        auto& early = this->early_settlements[settled.key];
        if (std::ranges::find(early, settled, &EarlySettlement::settled) == early.end())
            early.push_back(settlement);
        return;
    }
    if (found->second.settled)
        return;
    found->second.settled = settled;
    if (settled.body_kept) {
        this->kept_bodies.push_back(settled.key);
        this->kept_bytes += settled.body.size();
        this->keep_bodies_bounded();
    }
}

void FateLedger::keep_bodies_bounded()
{
    while (this->kept_bytes > this->limits.most_kept_bytes && !this->kept_bodies.empty()) {
        auto const found = this->fates.find(this->kept_bodies.front());
        this->kept_bodies.pop_front();
        if (found == this->fates.end() || !found->second.settled)
            continue;
        auto& settled = *found->second.settled;
        this->kept_bytes -= settled.body.size();
        settled.body.clear();
        settled.body.shrink_to_fit();
        settled.body_kept = false;
    }
}

bool FateLedger::has_won(Claim const& claim) const
{
    auto const found = this->fates.find(claim.key);
    return found != this->fates.end() && found->second.claim && found->second.claim->claimant == claim.claimant;
}

ClaimState FateLedger::state_of(Claim const& claim) const
{
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    VERIFY(own_claim != this->own_claims.end());
    if (own_claim->second.sent)
        return ClaimState::Sent;
    if (!this->fates.contains(claim.key))
        return ClaimState::Waiting;
    return this->has_won(claim) ? ClaimState::Won : ClaimState::Lost;
}

bool FateLedger::try_send(Claim const& claim)
{
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    VERIFY(own_claim != this->own_claims.end());
    if (own_claim->second.given_up || own_claim->second.sent || !this->has_won(claim))
        return false;
    own_claim->second.sent = true;
    return true;
}

bool FateLedger::is_wanted(Claim const& claim) const
{
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    return own_claim != this->own_claims.end() && !own_claim->second.given_up;
}

std::optional<Record> FateLedger::give_up(Claim const& claim)
{
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    VERIFY(own_claim != this->own_claims.end());
    if (own_claim->second.sent || own_claim->second.given_up)
        return {};
    own_claim->second.given_up = true;
    this->claims_under_way.erase(claim.key);
    if (!this->has_won(claim))
        return {};
    return Settled { claim.key, claim.claimant, Result::NotRun, 0, "", "", false };
}

void FateLedger::forget_old(std::int64_t now)
{
    // NOTE: A key whose record bears a stamp may have been made up to the allowance after it, and the stamp's clock may
    // be off by as much.
    auto const oldest = now - this->limits.window - 2 * this->limits.allowance;
    std::erase_if(this->fates, [&](auto const& entry) {
        if (entry.second.appended_milliseconds >= oldest)
            return false;
        this->claims_under_way.erase(entry.first);
        return true;
    });
    std::erase_if(
        this->early_settlements, [&](auto const& entry) { return entry.second.back().appended_milliseconds < oldest; });
    std::erase_if(this->own_claims, [&](auto const& entry) { return entry.second.made_milliseconds < oldest; });
}

}
