#include <LibRouting/CrashLedger.h>

#include <algorithm>

namespace Routing {

CrashStatus CrashLedger::status(CrashSuspect request, Instant now) const
{
    CrashStatus status;
    auto const probe = this->probes.find(request);
    status.is_probed = probe != this->probes.end() && now < probe->second.until;
    auto const found = this->entries.find(request);
    if (found == this->entries.end())
        return status;
    status.crashes = crashes_of(found->second, now);
    if (status.crashes >= refusal_threshold)
        status.refused_for = quarantine - (now - found->second.last_crash);
    return status;
}

void CrashLedger::renew_probe(CrashSuspect request, Instant now)
{
    auto const [position, is_new] = this->probes.try_emplace(request);
    auto& probe = position->second;
    if (is_new || probe.until <= now)
        probe.crashes_before = this->status(request, now).crashes;
    probe.until = now + probe_lease;
    if (this->probes.size() > max_requests)
        this->probes.erase(
            std::ranges::min_element(this->probes, {}, [](auto const& known) { return known.second.until; }));
}

unsigned CrashLedger::crashes_of(Entry const& entry, Instant now)
{
    // NOTE: After the quarantine one more crash reaches the threshold again, so a single run decides.
    if (now - entry.last_crash >= quarantine)
        return std::min(entry.crashes, refusal_threshold - 1);
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
    auto const count = std::min(report.count, refusal_threshold);
    if (count <= crashes_of(entry, crashed_at))
        return Outcome::Known;
    entry.crashes = count;
    entry.endpoints.push_back(report.endpoint);
    if (entry.endpoints.size() > refusal_threshold)
        entry.endpoints.erase(entry.endpoints.begin());
    entry.last_crash = crashed_at;
    this->note_crashed_endpoint(report.endpoint, crashed_at, now);
    this->end_earlier_probe(report.suspect, count);
    this->make_room();
    return Outcome::New;
}

void CrashLedger::end_earlier_probe(CrashSuspect request, unsigned crashes)
{
    auto const probe = this->probes.find(request);
    if (probe != this->probes.end() && probe->second.crashes_before < crashes)
        this->probes.erase(probe);
}

bool CrashLedger::clear(CrashSuspect request, Instant now)
{
    this->probes.erase(request);
    auto const found = this->entries.find(request);
    if (found == this->entries.end() || found->second.crashes == 0)
        return false;
    found->second = Entry { 0, {}, now, now };
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
    for (auto& [request, entry] : this->entries) {
        auto const retracted = std::erase(entry.endpoints, endpoint);
        entry.crashes -= std::min<unsigned>(entry.crashes, static_cast<unsigned>(retracted));
    }
    return true;
}

std::vector<CrashReport> CrashLedger::refused(Instant now) const
{
    std::vector<CrashReport> reports;
    for (auto const& [request, entry] : this->entries) {
        if (crashes_of(entry, now) >= refusal_threshold)
            reports.push_back({ request, entry.endpoints.back(), entry.crashes });
    }
    return reports;
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
