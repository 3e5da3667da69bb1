#include "Scenario.h"
#include "Standin.h"

#include <LibPlatform/Digest.h>
#include <array>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(scenario, "dawn", "dawn, rush or steady");
DEFINE_string(policy, "cleatbeam", "policy that the settings select");
DEFINE_int32(box_count, 7, "boxes that share the endpoints");
DEFINE_string(endpoint_ports, "", "ports of the engines, then of the services, separated by commas");

namespace {

std::vector<double> few_large_accounts()
{
    return { 0.28, 0.2, 0.14, 0.1, 0.07, 0.06, 0.05, 0.04, 0.03, 0.03 };
}

/// Field counters at dawn: lookups and sightings burst while summaries and digests go on.
Scenario dawn()
{
    Scenario scenario;
    scenario.name = "dawn";
    scenario.classes = {
        { "lookup", 0, "model", true, true, 24, 0.5, 40, 0, 300, true, 2000, 0, false, 0 },
        { "sighting", 0, "service", false, false, 1, 0, 0, 60, 500, false, 4000, 0, true, 4 },
        { "summary", 1, "model", true, true, 100, 0.7, 120, 0, 2500, true, 12000, 0.05, true, 1 },
        { "digest", 2, "model", false, true, 200, 0.7, 200, 0, 25000, false, 30000, 0.04, true, 2 },
    };
    scenario.phases = {
        { 0.2, { 0.35, 0.35, 0.2, 0.15 }, true },
        { 0.3, { 0.8, 0.8, 0.4, 0.3 }, true },
        { 0.25, { 3.0, 3.0, 0.4, 0.3 }, false },
        { 0.25, { 0.3, 0.3, 0.2, 0.15 }, true },
    };
    scenario.account_shares = few_large_accounts();
    return scenario;
}

/// The pharmacies' morning: the assistant's burst, with reservations that must not run twice.
Scenario rush()
{
    Scenario scenario;
    scenario.name = "rush";
    scenario.engines = 12;
    scenario.classes = {
        { "counter", 0, "model", true, true, 48, 0.6, 80, 0, 450, true, 4000, 0, true, 1 },
        { "reservation", 0, "service", false, false, 1, 0, 0, 60, 600, false, 5000, 0, true, 4 },
        { "order-page", 1, "model", true, true, 80, 0.7, 100, 0, 1500, true, 8000, 0.05, true, 1 },
        { "notice", 2, "model", false, true, 120, 0.7, 120, 0, 20000, false, 30000, 0.04, true, 2 },
    };
    scenario.phases = {
        { 0.2, { 0.35, 0.35, 0.2, 0.15 }, true },
        { 0.5, { 0.8, 0.8, 1.2, 0.6 }, true },
        { 0.3, { 0.3, 0.3, 0.2, 0.1 }, true },
    };
    scenario.account_shares = few_large_accounts();
    return scenario;
}

Scenario steady()
{
    auto scenario = dawn();
    scenario.name = "steady";
    scenario.phases = { { 1, { 0.35, 0.35, 0.2, 0.15 }, true } };
    return scenario;
}

std::string endpoint_branch(std::string const& name, std::string const& port, std::size_t number)
{
    return fmt::format(
        "        {}: {{set: {{address: '127.0.0.1:{}', failure_domain: hall-{}}}}}\n", name, port, number % 3 + 1);
}

}

std::optional<Scenario> find_scenario(std::string const& name)
{
    for (auto const& scenario : { dawn(), rush(), steady() }) {
        if (scenario.name == name)
            return scenario;
    }
    return {};
}

std::string account_key(std::size_t account)
{
    return fmt::format("key-of-account-{}", account);
}

std::string settings_for(
    Scenario const& scenario, std::vector<std::string> const& ports, std::string const& policy, int boxes)
{
    std::string text = "tiers: [urgent, session, background]\nclasses:\n  branches:\n";
    constexpr std::array<char const*, 3> tiers { "urgent", "session", "background" };
    std::string class_names;
    for (auto const& load : scenario.classes) {
        text += fmt::format("    {}: {{set: {{tier: {}, target: {}ms, target_kind: {}, patience: {}ms, floor: {}, "
                            "late_answer_useful: {}, repeatable: {}}}}}\n",
            load.name, tiers[static_cast<std::size_t>(load.tier)], load.target_ms,
            load.target_is_first_token ? "first-token" : "whole-answer", load.patience_ms, load.floor,
            load.late_answer_useful, load.repeatable);
        class_names += (class_names.empty() ? "" : ", ") + load.name;
    }
    text += fmt::format("accounts:\n  set: {{classes: [{}]}}\n  branches:\n", class_names);
    for (std::size_t account = 0; account < scenario.account_shares.size(); ++account)
        text += fmt::format(
            "    account-{}: {{set: {{key_hashes: [{}]}}}}\n", account, Platform::sha256_hex(account_key(account)));
    text += fmt::format("endpoints:\n  branches:\n    models:\n      set: {{pool: models, kind: model, models: "
                        "[stand-in], slots: {}}}\n      branches:\n",
        scenario.engine_slots);
    auto const engines = static_cast<std::size_t>(scenario.engines);
    for (std::size_t engine = 0; engine < engines && engine < ports.size(); ++engine)
        text += endpoint_branch(fmt::format("engine-{}", engine + 1), ports[engine], engine);
    text += fmt::format("    services:\n      set: {{pool: services, kind: service, path_prefixes: [/records], slots: "
                        "{}}}\n      branches:\n",
        scenario.service_slots);
    for (std::size_t service = engines; service < ports.size(); ++service)
        text += endpoint_branch(fmt::format("service-{}", service - engines + 1), ports[service], service);
    text += fmt::format("routing: {{policy: {}, boxes: {}, report_interval: 100ms}}\n", policy, boxes);
    return text;
}

int run_print_settings()
{
    auto const scenario = find_scenario(FLAGS_scenario);
    if (!scenario) {
        std::cerr << "standin: no such scenario: " << FLAGS_scenario << "\n";
        return 2;
    }
    std::cout << settings_for(*scenario, split(FLAGS_endpoint_ports, ','), FLAGS_policy, FLAGS_box_count);
    return 0;
}
