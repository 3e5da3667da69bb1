/// Measures what each role of a box costs at several sizes and prints key=value lines. Not shipped. docs/CAPACITY.md
/// quotes its output and works out from it what the planned size would cost.

#include <LibFate/FateLedger.h>
#include <LibPlatform/Base64.h>
#include <LibRecord/DecisionRing.h>
#include <LibServer/RoutingTable.h>
#include <LibSettings/SettingsHistory.h>

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <malloc.h>

namespace {

using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Allocated bytes.
std::size_t bytes_in_use()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string settings_document(int accounts, int models, int endpoints)
{
    constexpr int digits_in_hash = 64;
    std::string text = "tiers: [urgent, session, background]\nclasses:\n  set: {target_kind: first-token, patience: "
                       "30s, repeatable: true}\n  branches:\n";
    for (auto const* name : { "urgent", "session", "background" })
        text += fmt::format("    {}: {{set: {{tier: {}, target: 630ms}}}}\n", name, name);
    text += "accounts:\n  set: {classes: [urgent, session, background]}\n  branches:\n";
    for (int account = 0; account < accounts; ++account)
        text += fmt::format("    account-{}: {{set: {{key_hashes: ['{:0>{}}']}}}}\n", account, account, digits_in_hash);
    text += "endpoints:\n  set: {kind: model, slots: 8}\n  branches:\n";
    for (int model = 0; model < models; ++model) {
        text += fmt::format(
            "    pool-{0}:\n      set: {{pool: pool-{0}, models: [model-{0}]}}\n      branches:\n", model);
        for (int endpoint = model; endpoint < endpoints; endpoint += models)
            text += fmt::format(
                "        engine-{}: {{set: {{address: '10.{}.{}.{}:8000', failure_domain: domain-{}}}}}\n", endpoint,
                endpoint / 62500, endpoint / 250 % 250, endpoint % 250, endpoint % 7);
    }
    return text;
}

void measure_settings(int accounts, int models, int endpoints)
{
    constexpr int repeats = 5;
    Settings::Publication const publication { Core::Offset { 0 }, "operator", "nonce",
        settings_document(accounts, models, endpoints) };
    auto const payload = publication.encode();
    auto const before = bytes_in_use();
    Settings::SettingsHistory history;
    std::vector<Settings::SettingsFault> faults;
    auto const start = Clock::now();
    for (int repeat = 0; repeat < repeats; ++repeat) {
        Settings::Publication const next { history.version(), "operator", "nonce", publication.document };
        if (history.apply(Core::Offset { static_cast<std::uint64_t>(repeat) }, next.encode(), faults)
            != Settings::PublicationVerdict::Accepted)
            std::cerr << faults.front().to_string() << "\n";
    }
    auto const apply_seconds = seconds_since(start) / repeats;
    Server::NameTables names;
    auto const table_start = Clock::now();
    auto const table = Server::RoutingTable::create(history.version(), history.current()->document, "domain-1", names);
    std::cout << fmt::format("role=settings accounts={} models={} endpoints={} bytes_a_change={} apply_ms={:.2f} "
                             "table_ms={:.2f} memory_bytes={}\n",
        accounts, models, endpoints, payload.size(), apply_seconds * 1e3, seconds_since(table_start) * 1e3,
        bytes_in_use() - before);
}

void measure_account_lookup(int accounts)
{
    constexpr int lookups = 2000;
    std::vector<Settings::SettingsFault> faults;
    auto const settings = Settings::read_settings(settings_document(accounts, 17, 34), faults);
    Server::NameTables names;
    auto const table = Server::RoutingTable::create(Core::Offset { 1 }, settings->document, "domain-1", names);
    auto const start = Clock::now();
    int found = 0;
    for (int lookup = 0; lookup < lookups; ++lookup)
        found += table->find_account("some key") != nullptr ? 1 : 0;
    std::cout << fmt::format("role=caller-side accounts={} account_lookup_us={:.2f} found={}\n", accounts,
        seconds_since(start) / lookups * 1e6, found);
}

void measure_fates(std::uint64_t keys)
{
    constexpr std::int64_t now = 1'700'000'000'000;
    constexpr std::size_t answer_bytes = 200;
    constexpr std::uint64_t records_a_batch = 4;
    std::vector<std::string> batches;
    std::size_t bytes = 0;
    for (std::uint64_t key = 0; key < keys; key += records_a_batch / 2) {
        Fate::Batch batch { now, {} };
        for (std::uint64_t one = key; one < key + records_a_batch / 2; ++one) {
            Fate::Claimant const claimant { Fate::Incarnation { 5 }, one };
            batch.records.emplace_back(Fate::Claim { { one, one }, claimant, one });
            batch.records.emplace_back(Fate::Settled { { one, one }, claimant, Fate::Result::Completed, 200,
                "application/json", std::string(answer_bytes, 'x'), true });
        }
        batches.push_back(batch.encode());
        bytes += batches.back().size();
    }
    auto const before = bytes_in_use();
    Fate::FateLedger ledger(Fate::Incarnation { 1 }, {});
    auto const start = Clock::now();
    for (std::uint64_t offset = 0; offset < batches.size(); ++offset) {
        auto const batch = Fate::Batch::try_decode(batches[offset]);
        for (auto const& record : batch->records)
            (void)ledger.apply(Core::Offset { offset }, record, batch->at_milliseconds);
    }
    auto const seconds = seconds_since(start);
    std::cout << fmt::format(
        "role=fates keys={} log_bytes_a_key={:.0f} apply_us_a_key={:.2f} memory_bytes_a_key={:.0f} answer_bytes={}\n",
        keys, static_cast<double>(bytes) / static_cast<double>(keys), seconds / static_cast<double>(keys) * 1e6,
        static_cast<double>(bytes_in_use() - before) / static_cast<double>(keys), answer_bytes);
}

void measure_records(std::size_t records)
{
    auto const before = bytes_in_use();
    Record::DecisionRing ring(records);
    auto const start = Clock::now();
    constexpr std::size_t records_a_request = 3;
    for (std::size_t record = 0; record < records; ++record)
        ring.add({ Core::RequestId { record / records_a_request }, 1'700'000'000'000, Record::DecisionKind::Placed,
            Core::Reason::PlacedInTierOrder, "lookup", "account-17", "pool-3", "engine-1234", Core::Offset { 7 }, {} });
    std::cout << fmt::format("role=records kept={} add_us={:.3f} memory_bytes_a_record={:.0f}\n", records,
        seconds_since(start) / static_cast<double>(records) * 1e6,
        static_cast<double>(bytes_in_use() - before) / static_cast<double>(records));
}

}

int main()
{
    measure_settings(10, 1, 12);
    measure_settings(100, 5, 200);
    measure_settings(425, 17, 950);
    measure_settings(850, 17, 1900);
    for (auto const accounts : { 10, 100, 850 })
        measure_account_lookup(accounts);
    for (auto const keys : { 10'000, 100'000, 400'000 })
        measure_fates(static_cast<std::uint64_t>(keys));
    for (auto const records : { 10'000, 50'000, 200'000 })
        measure_records(static_cast<std::size_t>(records));
    return 0;
}
