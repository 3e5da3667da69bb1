#include <LibFate/FateLedger.h>

#include <LibCore/Verify.h>
#include <algorithm>

namespace Fate {

using Core::Outcome;
using Core::Reason;

std::optional<Verdict> FateLedger::check(KeyRequest const& request, std::int64_t now) const
{
    if (request.created_milliseconds > now + this->limits.max_clock_skew)
        return Rejection { Outcome::Undecided, Reason::KeyFromFuture };
    if (request.created_milliseconds < now - this->limits.max_key_age)
        return Rejection { Outcome::Unknown, Reason::KeyTooOld };
    auto const found = this->fates.find(request.key);
    if (found != this->fates.end()) {
        auto const& claim = found->second.claim;
        if (claim && claim->fingerprint != request.fingerprint)
            return Rejection { Outcome::NotRun, Reason::KeyReusedForOtherRequest };
        return this->verdict_for(found->second);
    }
    // NOTE: A record of this key can be older than the key by at most the clock skew, and record timestamps may be off
    // by the clock skew again.
    if (!this->history_start || request.created_milliseconds < *this->history_start + 2 * this->limits.max_clock_skew)
        return Rejection { Outcome::Undecided, Reason::KeyHistoryNotRead };
    auto const pending = this->pending_claims.find(request.key);
    if (pending != this->pending_claims.end()) {
        if (pending->second.fingerprint != request.fingerprint)
            return Rejection { Outcome::NotRun, Reason::KeyReusedForOtherRequest };
        return HeldByOther { pending->second.claimant };
    }
    return {};
}

Verdict FateLedger::check_or_claim(KeyRequest const& request, std::int64_t now)
{
    if (auto const known = this->check(request, now))
        return *known;
    Claim const claim { request.key, { this->own_incarnation, this->next_sequence++ }, request.fingerprint };
    this->own_claims.emplace(claim.claimant.sequence, OwnClaim { false, false, now });
    this->pending_claims.emplace(request.key, claim);
    return MustClaim { claim };
}

Verdict FateLedger::current_verdict(Key const& key) const
{
    auto const found = this->fates.find(key);
    if (found != this->fates.end())
        return this->verdict_for(found->second);
    auto const pending = this->pending_claims.find(key);
    if (pending != this->pending_claims.end())
        return HeldByOther { pending->second.claimant };
    return Rejection { Outcome::Undecided, Reason::ClaimNotReadBack };
}

Verdict FateLedger::verdict_for(KeyFate const& fate) const
{
    if (fate.is_void)
        return Rejection { Outcome::NotRun, Reason::KeyVoided };
    VERIFY(fate.claim.has_value());
    if (!fate.settled)
        return HeldByOther { fate.claim->claimant };
    switch (fate.settled->result) {
    case Result::NotRun:
        return Rejection { Outcome::NotRun, Reason::ClaimantEnded };
    case Result::Completed:
        if (fate.settled->body_kept)
            return Replay { *fate.settled };
        return Rejection { Outcome::Unknown, Reason::AnswerNotKept };
    case Result::Unknown:
        break;
    }
    return Rejection { Outcome::Unknown, Reason::ClaimantEnded };
}

std::vector<Record> FateLedger::apply(Core::Offset offset, Record const& record, std::int64_t appended_milliseconds)
{
    std::vector<Record> to_append;
    if (auto const* settled = std::get_if<Settled>(&record)) {
        this->apply_settled({ *settled, appended_milliseconds });
        return to_append;
    }
    if (auto const* void_record = std::get_if<Void>(&record)) {
        this->apply_decision(offset, void_record->key, {}, appended_milliseconds);
        return to_append;
    }
    auto const& claim = std::get<Claim>(record);
    this->apply_decision(offset, claim.key, claim, appended_milliseconds);
    if (claim.claimant.incarnation != this->own_incarnation)
        return to_append;
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    auto const is_abandoned
        = own_claim != this->own_claims.end() && own_claim->second.given_up && !own_claim->second.sent;
    if (is_abandoned && this->is_winner(claim))
        to_append.emplace_back(Settled { claim.key, claim.claimant, Result::NotRun, 0, "", "", false });
    return to_append;
}

void FateLedger::apply_decision(
    Core::Offset offset, Key const& key, std::optional<Claim> const& claim, std::int64_t appended_milliseconds)
{
    auto [at, is_new] = this->fates.try_emplace(key);
    auto& fate = at->second;
    if (!is_new && offset >= fate.deciding_offset)
        return;
    fate = { offset, claim, !claim.has_value(), {}, appended_milliseconds };
    auto const early_entry = this->early_settlements.find(key);
    if (early_entry == this->early_settlements.end())
        return;
    auto const settlements = std::move(early_entry->second);
    this->early_settlements.erase(early_entry);
    for (auto const& settlement : settlements)
        this->apply_settled(settlement);
}

void FateLedger::apply_settled(EarlySettlement const& settlement)
{
    auto const& settled = settlement.settled;
    auto const found = this->fates.find(settled.key);
    auto const is_from_holder
        = found != this->fates.end() && found->second.claim && found->second.claim->claimant == settled.claimant;
    if (!is_from_holder) {
        auto& early_list = this->early_settlements[settled.key];
        if (std::ranges::find(early_list, settled, &EarlySettlement::settled) == early_list.end())
            early_list.push_back(settlement);
        return;
    }
    if (found->second.settled)
        return;
    found->second.settled = settled;
    if (settled.body_kept) {
        this->kept_bodies.push_back(settled.key);
        this->kept_bytes += settled.body.size();
        this->evict_bodies();
    }
}

void FateLedger::evict_bodies()
{
    while (this->kept_bytes > this->limits.max_kept_bytes && !this->kept_bodies.empty()) {
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

bool FateLedger::is_winner(Claim const& claim) const
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
    return this->is_winner(claim) ? ClaimState::Won : ClaimState::Lost;
}

bool FateLedger::try_send(Claim const& claim)
{
    auto const own_claim = this->own_claims.find(claim.claimant.sequence);
    VERIFY(own_claim != this->own_claims.end());
    if (own_claim->second.given_up || own_claim->second.sent || !this->is_winner(claim))
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
    this->pending_claims.erase(claim.key);
    if (!this->is_winner(claim))
        return {};
    return Settled { claim.key, claim.claimant, Result::NotRun, 0, "", "", false };
}

void FateLedger::remove_expired(std::int64_t now)
{
    // NOTE: A key may have been created up to the clock skew after its record's timestamp, and the clock of that
    // timestamp may be off by the same amount.
    auto const oldest = now - this->limits.max_key_age - 2 * this->limits.max_clock_skew;
    std::erase_if(this->fates, [&](auto const& entry) {
        if (entry.second.appended_milliseconds >= oldest)
            return false;
        this->pending_claims.erase(entry.first);
        return true;
    });
    std::erase_if(
        this->early_settlements, [&](auto const& entry) { return entry.second.back().appended_milliseconds < oldest; });
    std::erase_if(this->own_claims, [&](auto const& entry) { return entry.second.created_milliseconds < oldest; });
}

}
