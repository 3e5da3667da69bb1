#include <LibRouting/CrashLedger.h>

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace Routing {

namespace {

std::uint32_t shortened(CrashSuspect prompt_part)
{
    return static_cast<std::uint32_t>(prompt_part.content);
}

template <typename Value> bool contains(std::vector<Value> const& values, Value value)
{
    return std::ranges::find(values, value) != values.end();
}

bool contains_all(std::vector<CrashSuspect> const& prompt_parts, std::vector<std::uint32_t> const& companions)
{
    return std::ranges::all_of(companions,
        [&](auto companion) { return std::ranges::find(prompt_parts, companion, shortened) != prompt_parts.end(); });
}

/// The other parts of the prompt, as many as a report may name.
std::vector<std::uint32_t> companions_of(CrashSuspect prompt_part, std::vector<CrashSuspect> const& prompt_parts)
{
    std::vector<std::uint32_t> companions;
    for (auto const& other : prompt_parts) {
        if (companions.size() < CrashCircumstances::max_companions && other != prompt_part)
            companions.push_back(shortened(other));
    }
    return companions;
}

}

CrashStatus CrashLedger::status(CrashSuspect suspect, Instant now) const
{
    CrashStatus status;
    status.is_probed = this->is_probed(suspect, now);
    auto const found = this->entries.find(suspect);
    if (found == this->entries.end())
        return status;
    status.crashes = crashes_of(suspect, found->second, now);
    auto const left = refusal_after(suspect.kind, status.crashes) - (now - found->second.last_crash);
    if (left > Duration { 0 })
        status.refused_for = left;
    return status;
}

RequestCrashes CrashLedger::request_crashes(CrashSuspects const& suspects, Instant now) const
{
    RequestCrashes result;
    auto const add = [&](CrashSuspect suspect, unsigned probe_threshold, bool is_blamed) {
        auto const status = this->status(suspect, now);
        result.known.push_back(status.crashes);
        if (!is_blamed)
            return;
        result.is_probed |= status.is_probed;
        if (status.refused_for > result.refused_for) {
            result.refused_for = status.refused_for;
            result.refused_suspect = suspect;
        }
        if (status.crashes >= probe_threshold)
            result.to_probe.push_back(suspect);
    };
    add(suspects.request, 1, true);
    for (auto const& part : suspects.prompt_parts)
        add(part, part_probe_threshold, this->is_blamed(part, suspects));
    result.is_probed
        |= std::ranges::any_of(result.to_probe, [&](auto const& suspect) { return !this->is_own_turn(suspect, now); });
    return result;
}

std::vector<CrashReport> CrashLedger::reports_of(
    CrashSuspects const& suspects, std::vector<unsigned> const& known, EndpointInstance const& endpoint)
{
    std::vector<CrashReport> reports { { suspects.request, endpoint, known.front() + 1 } };
    for (std::size_t index = 0; index < suspects.prompt_parts.size(); ++index) {
        auto const& part = suspects.prompt_parts[index];
        reports.push_back({ part, endpoint, known[index + 1] + 1,
            { suspects.request.account, companions_of(part, suspects.prompt_parts) } });
    }
    return reports;
}

bool CrashLedger::is_probed(CrashSuspect suspect, Instant now) const
{
    auto const probe = this->probes.find(suspect);
    return probe != this->probes.end() && now < probe->second.until;
}

CrashCircumstances CrashLedger::in_common(Entry const& entry)
{
    if (entry.part_crashes.empty())
        return {};
    auto accounts = entry.part_crashes.front().accounts;
    auto companions = entry.part_crashes.front().companions;
    for (auto const& crash : entry.part_crashes) {
        std::erase_if(accounts, [&](auto account) { return !contains(crash.accounts, account); });
        std::erase_if(companions, [&](auto companion) { return !contains(crash.companions, companion); });
    }
    if (companions.size() > CrashCircumstances::max_companions)
        companions.resize(CrashCircumstances::max_companions);
    return { accounts.size() == 1 ? std::optional(accounts.front()) : std::nullopt, companions };
}

bool CrashLedger::may_be_due_to(Entry const& entry, std::uint64_t account)
{
    auto const crashed_account = in_common(entry).account;
    return !crashed_account || *crashed_account == account;
}

bool CrashLedger::is_own_turn(CrashSuspect prompt_part, Instant now) const
{
    auto const found = this->entries.find(prompt_part);
    if (prompt_part.kind == CrashSuspect::Kind::Request || found == this->entries.end())
        return true;
    auto const turn = static_cast<std::uint64_t>((now - found->second.last_crash) / turn_length);
    std::array const drawn { prompt_part.content, turn };
    return XXH3_64bits_withSeed(drawn.data(), sizeof(drawn), this->seed) % boxes_per_turn == 0;
}

bool CrashLedger::is_blamed(CrashSuspect prompt_part, CrashSuspects const& suspects) const
{
    auto const found = this->entries.find(prompt_part);
    return found != this->entries.end() && may_be_due_to(found->second, suspects.request.account)
        && contains_all(suspects.prompt_parts, in_common(found->second).companions);
}

bool CrashLedger::is_disproved(CrashSuspect prompt_part, std::uint64_t account, Instant answer_began) const
{
    auto const found = this->entries.find(prompt_part);
    // NOTE: Another account may use the same id for another content.
    return found != this->entries.end() && found->second.crashes > 0 && may_be_due_to(found->second, account)
        && answer_began > found->second.last_crash;
}

bool CrashLedger::add_run(Entry& entry, CrashReport const& report, Instant crashed_at)
{
    auto known = std::ranges::find_if(entry.part_crashes, [&](auto const& crash) {
        auto const apart = std::chrono::abs(crash.at - crashed_at);
        return crash.endpoint == report.endpoint && apart < same_crash_window;
    });
    bool const is_new_crash = known == entry.part_crashes.end();
    if (is_new_crash) {
        if (entry.part_crashes.size() == max_part_crashes)
            entry.part_crashes.erase(entry.part_crashes.begin());
        known = entry.part_crashes.insert(entry.part_crashes.end(), { report.endpoint, crashed_at, {}, {} });
    }
    bool adds_anything = is_new_crash;
    auto const& account = report.circumstances.account;
    if (account && !contains(known->accounts, *account)) {
        known->accounts.push_back(*account);
        adds_anything = true;
    }
    for (auto const companion : report.circumstances.companions) {
        if (contains(known->companions, companion) || known->companions.size() == max_kept_companions)
            continue;
        known->companions.push_back(companion);
        adds_anything = true;
    }
    return adds_anything;
}

void CrashLedger::renew_probe(CrashSuspect suspect, Instant now)
{
    auto const [position, is_new] = this->probes.try_emplace(suspect);
    auto& probe = position->second;
    if (is_new || probe.until <= now)
        probe.crashes_before = this->status(suspect, now).crashes;
    probe.until = now + probe_lease;
    if (this->probes.size() > max_requests)
        this->probes.erase(
            std::ranges::min_element(this->probes, {}, [](auto const& known) { return known.second.until; }));
}

Duration CrashLedger::refusal_after(CrashSuspect::Kind kind, unsigned crashes)
{
    if (crashes >= max_crashes(kind))
        return quarantine;
    if (crashes < refusal_threshold)
        return Duration { 0 };
    return crashes == refusal_threshold ? part_third_refusal : part_fourth_refusal;
}

unsigned CrashLedger::crashes_of(CrashSuspect suspect, Entry const& entry, Instant now)
{
    // NOTE: After the quarantine one more crash reaches the threshold again, so a single run decides.
    if (now - entry.last_crash >= quarantine)
        return std::min(entry.crashes, max_crashes(suspect.kind) - 1);
    return entry.crashes;
}

CrashLedger::Outcome CrashLedger::apply(CrashReport const& report, Duration age, Instant now)
{
    if (report.count == 0 || age >= retention)
        return Outcome::Known;
    auto& entry = this->entries.try_emplace(report.suspect).first->second;
    bool const was_cleared = entry.cleared_at && now - *entry.cleared_at < late_report_window;
    if (was_cleared && report.count > entry.crashes + 1)
        return Outcome::Cleared;
    auto const crashed_at = now - age;
    // NOTE: The report is late or repeated: failed runs of a popular request from before a successful run must not add
    // up.
    if (entry.cleared_at && crashed_at <= *entry.cleared_at)
        return Outcome::Known;
    bool const is_further_run
        = report.suspect.kind == CrashSuspect::Kind::PromptPart && add_run(entry, report, crashed_at);
    auto const count = std::min(report.count, max_crashes(report.suspect.kind));
    if (count <= crashes_of(report.suspect, entry, crashed_at))
        return is_further_run ? Outcome::FurtherRun : Outcome::Known;
    entry.crashes = count;
    entry.endpoints.push_back(report.endpoint);
    if (entry.endpoints.size() > max_crashes(report.suspect.kind))
        entry.endpoints.erase(entry.endpoints.begin());
    entry.last_crash = crashed_at;
    this->note_crashed_endpoint(report.endpoint, crashed_at, now);
    this->end_earlier_probe(report.suspect, count);
    this->make_room();
    return Outcome::New;
}

void CrashLedger::end_earlier_probe(CrashSuspect suspect, unsigned crashes)
{
    auto const probe = this->probes.find(suspect);
    if (probe != this->probes.end() && probe->second.crashes_before < crashes)
        this->probes.erase(probe);
}

bool CrashLedger::clear(CrashSuspect suspect, Instant now)
{
    this->probes.erase(suspect);
    auto const found = this->entries.find(suspect);
    if (found == this->entries.end() || found->second.crashes == 0)
        return false;
    found->second = Entry { 0, {}, now, now, {} };
    return true;
}

void CrashLedger::note_crashed_endpoint(EndpointInstance const& endpoint, Instant crashed_at, Instant now)
{
    auto const [position, is_new] = this->crashed.try_emplace(endpoint, KnownCrash { crashed_at, now });
    // NOTE: If endpoints don't report start times, a later crash may be that of another process.
    if (!is_new && crashed_at > position->second.at)
        position->second = { crashed_at, now };
}

bool CrashLedger::endpoint_answered(EndpointInstance const& endpoint, AnswerTiming const& evidence)
{
    if (this->crashed.empty())
        return false;
    auto const found = this->crashed.find(endpoint);
    if (found == this->crashed.end())
        return false;
    // NOTE: An answer may have been on its way when the endpoint crashed, but not the answer to a later request.
    bool const is_later = evidence.sent_at > found->second.known_since;
    bool const is_same_process = evidence.connected_at < found->second.at;
    return is_later && is_same_process && this->retract(endpoint);
}

bool CrashLedger::retract(EndpointInstance const& endpoint)
{
    if (this->crashed.erase(endpoint) == 0)
        return false;
    for (auto& [suspect, entry] : this->entries) {
        std::erase_if(entry.part_crashes, [&](auto const& crash) { return crash.endpoint == endpoint; });
        auto const retracted = std::erase(entry.endpoints, endpoint);
        entry.crashes -= std::min<unsigned>(entry.crashes, static_cast<unsigned>(retracted));
    }
    return true;
}

std::vector<CrashReport> CrashLedger::refused(Instant now) const
{
    std::vector<CrashReport> reports;
    for (auto const& [suspect, entry] : this->entries) {
        // NOTE: Of a suspect whose crash was retracted, others may be known by their number only.
        bool const is_reported = crashes_of(suspect, entry, now) >= refusal_threshold && !entry.endpoints.empty();
        if (is_reported)
            reports.push_back({ suspect, entry.endpoints.back(), entry.crashes, in_common(entry) });
    }
    return reports;
}

Duration CrashLedger::crash_age(CrashSuspect suspect, Instant now) const
{
    auto const found = this->entries.find(suspect);
    return found == this->entries.end() ? Duration { 0 } : now - found->second.last_crash;
}

void CrashLedger::expire(Instant now)
{
    std::erase_if(this->entries, [now](auto const& known) { return now - known.second.last_crash >= retention; });
    std::erase_if(this->probes, [now](auto const& known) { return known.second.until <= now; });
    std::erase_if(this->crashed, [now](auto const& known) { return now - known.second.known_since >= retention; });
}

void CrashLedger::make_room()
{
    if (this->crashed.size() > max_requests)
        this->crashed.erase(
            std::ranges::min_element(this->crashed, {}, [](auto const& known) { return known.second.known_since; }));
    if (this->entries.size() <= max_requests)
        return;
    auto const least = std::ranges::min_element(
        this->entries, {}, [](auto const& known) { return std::pair(known.second.crashes, known.second.last_crash); });
    this->entries.erase(least);
}

}
