#include <TestMain.h>

#include <LibSettings/SettingsHistory.h>
#include <algorithm>

namespace {

std::string const good = R"(tiers: [urgent, session, background]
classes:
  set: {patience: 10s, repeatable: true, target_kind: first-token}
  branches:
    field:
      set: {tier: urgent, target: 300ms}
      branches:
        lookup: {set: {late_answer_useful: false}}
        sighting: {set: {repeatable: false, target: 500ms, target_kind: whole-answer}}
    digest: {set: {tier: background, target: 30s, floor: 0.05}}
accounts:
  set: {classes: [lookup, sighting]}
  branches:
    hall: {set: {key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]}}
endpoints:
  set: {pool: models, kind: model, slots: 8, models: [m]}
  branches:
    engine-1: {set: {address: '10.0.0.1:8000', failure_domain: hall-1}}
routing: {policy: cleatbeam, boxes: 7}
)";

std::string with(std::string const& from, std::string const& to)
{
    auto text = good;
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool is_refused_at(std::string const& text, std::string const& path, std::string const& reason_part)
{
    std::vector<Settings::SettingsFault> faults;
    auto const settings = Settings::read_settings(text, faults);
    return !settings && std::ranges::any_of(faults, [&](Settings::SettingsFault const& fault) {
        return fault.path.find(path) != std::string::npos && fault.reason.find(reason_part) != std::string::npos;
    });
}

}

TEST_CASE("a branch inherits and overrides, and the origin of each value is known")
{
    std::vector<Settings::SettingsFault> faults;
    auto const settings = Settings::read_settings(good, faults);
    REQUIRE(settings.has_value());
    CHECK(faults.empty());
    auto const& lookup = settings->document.classes[0];
    CHECK(lookup.name == "lookup");
    CHECK(lookup.tier == Core::TierId { 0 });
    CHECK(lookup.patience == std::chrono::seconds(10));
    CHECK_FALSE(lookup.late_answer_useful);
    CHECK(settings->document.classes[1].target == std::chrono::milliseconds(500));
    auto const resolved = settings->classes.resolve(*settings->classes.find_leaf("sighting"));
    CHECK(resolved.at("patience").source_path == "classes");
    CHECK(resolved.at("tier").source_path == "classes/field");
    CHECK(resolved.at("target").source_path == "classes/field/sighting");
    CHECK(resolved.at("target").value.line == 9);
}

TEST_CASE("each fault is refused with its path and reason")
{
    CHECK(is_refused_at(with("patience: 10s", "patience: 10"), "classes/patience", "unit"));
    CHECK(is_refused_at(with("patience: 10s", "patience: 10s, colour: red"), "classes/colour", "unknown field"));
    CHECK(is_refused_at(with("floor: 0.05", "floor: 0.9"), "digest/floor", "between"));
    CHECK(is_refused_at(with("tier: urgent", "tier: soon"), "classes/field/tier", "tiers"));
    CHECK(is_refused_at(with("tier: urgent, ", ""), "classes/field/lookup/tier", "missing"));
    CHECK(is_refused_at(with("classes: [lookup, sighting]", "classes: [lookup, other]"), "hall/classes", "no leaf"));
    CHECK(is_refused_at(with("10.0.0.1:8000", "10.0.0.1"), "engine-1/address", "port"));
    CHECK(is_refused_at(with("slots: 8", "slots: 0"), "endpoints/slots", "between"));
    CHECK(is_refused_at(with("slots: 8", "slots: [8]"), "endpoints/slots", "single value"));
    CHECK(is_refused_at(with("boxes: 7", "boxes: 7, boxes: 8"), "routing/boxes", "duplicate key"));
    CHECK(is_refused_at(with("boxes: 7", "boxen: 7"), "routing/boxen", "unknown field"));
    CHECK(is_refused_at(with("key_hashes: [aa", "key_hashes: [AA"), "hall/key_hashes", "SHA-256"));
    CHECK(is_refused_at(with("[urgent, session, background]", "[urgent, session]"), "tiers", "3 different"));
    CHECK(is_refused_at("", "", "empty"));
    CHECK(is_refused_at("[1, 2]", "", "map"));
    CHECK(is_refused_at("tiers: [a, b, c]\n", "classes", "missing"));
    CHECK(is_refused_at("classes: ~\naccounts: 5\nendpoints: []\n", "accounts", "map"));
    CHECK(is_refused_at("? {a: b}\n: c\n", "", ""));
    CHECK(is_refused_at("tiers: [", "", ""));
    CHECK(is_refused_at(std::string(Settings::max_document_bytes + 1, ' '), "", "larger"));
}

TEST_CASE("aliases and nesting are bounded")
{
    std::string aliases = "a: &a [x]\nb: [";
    for (std::size_t count = 0; count <= Settings::max_aliases; ++count)
        aliases += "*a, ";
    CHECK(is_refused_at(aliases + "]\n", "", "too many aliases"));
    std::string nested;
    for (int depth = 0; depth < 100; ++depth)
        nested += "[";
    CHECK(is_refused_at("a: " + nested + std::string(100, ']'), "", "nested too deep"));
}

TEST_CASE("of two publications from one base the first in the log wins, whoever reads it")
{
    Settings::Publication const first { Core::Offset { 0 }, "ana", "1", good };
    Settings::Publication const second { Core::Offset { 0 }, "ben", "2", with("boxes: 7", "boxes: 6") };
    Settings::SettingsHistory history;
    std::vector<Settings::SettingsFault> faults;
    CHECK(history.apply(Core::Offset { 4 }, first.encode(), faults) == Settings::PublicationVerdict::Accepted);
    CHECK(history.apply(Core::Offset { 5 }, second.encode(), faults) == Settings::PublicationVerdict::StaleBase);
    CHECK(history.version() == Core::Offset { 5 });
    CHECK(history.current()->document.routing.boxes == 7);
}

TEST_CASE("a bad document and a record read twice leave what is in force")
{
    Settings::SettingsHistory history;
    std::vector<Settings::SettingsFault> faults;
    Settings::Publication const first { Core::Offset { 0 }, "ana", "1", good };
    REQUIRE(history.apply(Core::Offset { 0 }, first.encode(), faults) == Settings::PublicationVerdict::Accepted);
    Settings::Publication const bad { history.version(), "ana", "2", with("slots: 8", "slots: many") };
    CHECK(history.apply(Core::Offset { 1 }, bad.encode(), faults) == Settings::PublicationVerdict::Faulty);
    CHECK(history.apply(Core::Offset { 2 }, "no record", faults) == Settings::PublicationVerdict::Faulty);
    CHECK(history.apply(Core::Offset { 0 }, first.encode(), faults) == Settings::PublicationVerdict::AlreadyApplied);
    CHECK(history.version() == Core::Offset { 1 });
}
