#include <LibSettings/DocumentCheck.h>
#include <LibSettings/SettingsReader.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>
#include <yaml-cpp/yaml.h>

namespace Settings {

std::string_view to_string(PolicyName policy)
{
    switch (policy) {
    case PolicyName::Cleatbeam:
        return "cleatbeam";
    case PolicyName::RoundRobinFifo:
        return "baseline-round-robin-fifo";
    case PolicyName::LeastOutstandingFifo:
        return "baseline-least-outstanding-fifo";
    case PolicyName::LeastOutstandingStrict:
        return "baseline-least-outstanding-strict";
    }
    return "";
}

std::optional<Core::ClassId> SettingsDocument::find_class(std::string_view name) const
{
    auto const found = std::ranges::find(this->classes, name, &ClassSettings::name);
    if (found == this->classes.end())
        return {};
    return Core::ClassId { static_cast<std::uint32_t>(found - this->classes.begin()) };
}

namespace {

/// Why a value is invalid; empty if it is valid.
using ValueError = std::string;

constexpr double max_floor = 0.5;
constexpr std::size_t tier_count = 3;

ValueError read_number(std::string const& text, double low, double high, double& target)
{
    double number = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return "must be a plain number";
    if (!(number >= low && number <= high))
        return "must lie between " + std::to_string(low) + " and " + std::to_string(high);
    target = number;
    return {};
}

ValueError read_integer(std::string const& text, int low, int high, int& target)
{
    int number = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return "must be a whole number";
    if (number < low || number > high)
        return "must lie between " + std::to_string(low) + " and " + std::to_string(high);
    target = number;
    return {};
}

ValueError read_duration(std::string const& text, Core::Duration& target)
{
    auto const duration = Core::parse_duration(text);
    if (!duration || duration->count() == 0)
        return "must be a positive duration with a unit: ms, s, m or h";
    target = *duration;
    return {};
}

ValueError read_bool(std::string const& text, bool& target)
{
    if (text != "true" && text != "false")
        return "must be true or false";
    target = text == "true";
    return {};
}

template <typename Choice>
ValueError read_choice(
    std::string const& text, std::vector<std::pair<std::string_view, Choice>> const& choices, Choice& target)
{
    std::string names;
    for (auto const& [name, choice] : choices) {
        if (name == text) {
            target = choice;
            return {};
        }
        names += (names.empty() ? "" : ", ") + std::string(name);
    }
    return "must be one of " + names;
}

ValueError read_address(std::string const& text, std::string& host, int& port)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return "must be an IP number and a port, as in 10.0.0.7:8000";
    host = text.substr(0, colon);
    return read_integer(text.substr(colon + 1), 1, 65535, port);
}

ValueError check_key_hashes(std::vector<std::string> const& texts)
{
    constexpr std::size_t sha256_hex_digits = 64;
    for (auto const& text : texts) {
        if (text.size() != sha256_hex_digits || text.find_first_not_of("0123456789abcdef") != std::string::npos)
            return "must be SHA-256 in 64 lower-case hex digits";
    }
    return {};
}

template <typename Target> struct FieldRule {
    std::string name;
    bool is_list { false };
    bool is_required { false };
    std::function<ValueError(Target&, std::vector<std::string> const&)> read;
};

std::vector<FieldRule<ClassSettings>> class_rules(std::vector<std::string> const& tiers)
{
    auto const read_tier = [tiers](ClassSettings& target, std::vector<std::string> const& texts) -> ValueError {
        auto const found = std::ranges::find(tiers, texts[0]);
        if (found == tiers.end())
            return "must be one of the tiers listed in `tiers`";
        target.tier = Core::TierId { static_cast<std::uint32_t>(found - tiers.begin()) };
        return {};
    };
    return {
        { "tier", false, true, read_tier },
        { "target", false, true,
            [](auto& target, auto const& texts) { return read_duration(texts[0], target.target); } },
        { "target_kind", false, true,
            [](auto& target, auto const& texts) {
                return read_choice<TargetKind>(texts[0],
                    { { "first-token", TargetKind::FirstToken }, { "whole-answer", TargetKind::WholeAnswer } },
                    target.target_kind);
            } },
        { "patience", false, true,
            [](auto& target, auto const& texts) { return read_duration(texts[0], target.patience); } },
        { "floor", false, false,
            [](auto& target, auto const& texts) { return read_number(texts[0], 0, max_floor, target.floor); } },
        { "late_answer_useful", false, false,
            [](auto& target, auto const& texts) { return read_bool(texts[0], target.late_answer_useful); } },
        { "repeatable", false, true,
            [](auto& target, auto const& texts) { return read_bool(texts[0], target.repeatable); } },
    };
}

std::vector<FieldRule<AccountSettings>> account_rules()
{
    return {
        { "classes", true, true,
            [](auto& target, auto const& texts) {
                target.classes = texts;
                return ValueError {};
            } },
        { "key_hashes", true, true,
            [](auto& target, auto const& texts) {
                target.key_hashes = texts;
                return check_key_hashes(texts);
            } },
        { "weight", false, false,
            [](auto& target, auto const& texts) { return read_number(texts[0], 0.01, 1000, target.weight); } },
    };
}

std::vector<FieldRule<EndpointSettings>> endpoint_rules()
{
    return {
        { "pool", false, true,
            [](auto& target, auto const& texts) {
                target.pool = texts[0];
                return ValueError { texts[0].empty() ? "must not be empty" : "" };
            } },
        { "kind", false, true,
            [](auto& target, auto const& texts) {
                return read_choice<EndpointKind>(
                    texts[0], { { "model", EndpointKind::Model }, { "service", EndpointKind::Service } }, target.kind);
            } },
        { "address", false, true,
            [](auto& target, auto const& texts) { return read_address(texts[0], target.host, target.port); } },
        { "failure_domain", false, true,
            [](auto& target, auto const& texts) {
                target.failure_domain = texts[0];
                return ValueError {};
            } },
        { "slots", false, true,
            [](auto& target, auto const& texts) { return read_integer(texts[0], 1, 4096, target.slots); } },
        { "models", true, false,
            [](auto& target, auto const& texts) {
                target.models = texts;
                return ValueError {};
            } },
        { "path_prefixes", true, false,
            [](auto& target, auto const& texts) {
                target.path_prefixes = texts;
                auto const bad = std::ranges::any_of(texts, [](auto const& text) { return !text.starts_with('/'); });
                return ValueError { bad ? "each must start with /" : "" };
            } },
        { "checks_keys", false, false,
            [](auto& target, auto const& texts) { return read_bool(texts[0], target.checks_keys); } },
    };
}

std::vector<FieldRule<RoutingSettings>> routing_rules()
{
    return {
        { "policy", false, false,
            [](auto& target, auto const& texts) {
                std::vector<std::pair<std::string_view, PolicyName>> choices;
                for (auto const policy : { PolicyName::Cleatbeam, PolicyName::RoundRobinFifo,
                         PolicyName::LeastOutstandingFifo, PolicyName::LeastOutstandingStrict })
                    choices.emplace_back(to_string(policy), policy);
                return read_choice<PolicyName>(texts[0], choices, target.policy);
            } },
        { "boxes", false, false,
            [](auto& target, auto const& texts) { return read_integer(texts[0], 1, 4096, target.boxes); } },
        { "preemption", false, false,
            [](auto& target, auto const& texts) { return read_bool(texts[0], target.preemption); } },
        { "retry_share", false, false,
            [](auto& target, auto const& texts) { return read_number(texts[0], 0, 1, target.retry_share); } },
        { "report_interval", false, false,
            [](auto& target, auto const& texts) { return read_duration(texts[0], target.report_interval); } },
    };
}

template <typename Target>
void apply_rules(std::vector<FieldRule<Target>> const& rules, std::map<std::string, InheritedValue> const& values,
    std::string const& path, int line, Target& target, std::vector<SettingsFault>& faults)
{
    for (auto const& [field, inherited] : values) {
        auto const& value = inherited.value;
        auto const at = inherited.source_path + "/" + field;
        auto const rule = std::ranges::find(rules, field, &FieldRule<Target>::name);
        if (rule == rules.end()) {
            faults.push_back({ at, value.line, value.joined(), "unknown field" });
            continue;
        }
        if (rule->is_list != value.is_list) {
            faults.push_back(
                { at, value.line, value.joined(), rule->is_list ? "must be a list" : "must be a single value" });
            continue;
        }
        auto const error = rule->read(target, value.texts);
        if (!error.empty())
            faults.push_back({ at, value.line, value.joined(), error });
    }
    for (auto const& rule : rules) {
        if (rule.is_required && !values.contains(rule.name))
            faults.push_back({ path + "/" + rule.name, line, "", "missing; set it here or on a branch above" });
    }
}

template <typename Target>
std::vector<Target> read_leaves(
    SettingsTree const& tree, std::vector<FieldRule<Target>> const& rules, std::vector<SettingsFault>& faults)
{
    std::vector<Target> leaves;
    std::set<std::string> names;
    for (std::size_t index = 0; index < tree.branches().size(); ++index) {
        auto const& branch = tree.branches()[index];
        if (!branch.is_leaf)
            continue;
        if (!names.insert(branch.name).second)
            faults.push_back({ branch.path, branch.line, branch.name, "another leaf of this tree has the same name" });
        Target target;
        target.name = branch.name;
        target.path = branch.path;
        apply_rules(rules, tree.resolve(index), branch.path, branch.line, target, faults);
        leaves.push_back(std::move(target));
    }
    return leaves;
}

std::vector<std::string> read_tiers(YAML::Node const& node, std::vector<SettingsFault>& faults)
{
    std::vector<std::string> tiers;
    if (node && node.IsSequence()) {
        for (auto const& tier : node)
            tiers.push_back(tier.IsScalar() ? tier.Scalar() : "");
    }
    if (tiers.size() != tier_count || std::set<std::string>(tiers.begin(), tiers.end()).size() != tier_count)
        faults.push_back(
            { "tiers", node ? node.Mark().line + 1 : 0, "", "must list 3 different names, the most urgent first" });
    return tiers;
}

RoutingSettings read_routing(YAML::Node const& node, std::vector<SettingsFault>& faults)
{
    RoutingSettings routing;
    if (!node)
        return routing;
    if (!node.IsMap()) {
        faults.push_back({ "routing", node.Mark().line + 1, "", "must be a map from field to value" });
        return routing;
    }
    std::map<std::string, InheritedValue> values;
    for (auto const& entry : node) {
        auto const line = entry.second.Mark().line + 1;
        auto const text = entry.second.IsScalar() ? entry.second.Scalar() : "";
        values.emplace(
            entry.first.Scalar(), InheritedValue { { { text }, entry.second.IsSequence(), line }, "routing" });
    }
    apply_rules(routing_rules(), values, "routing", node.Mark().line + 1, routing, faults);
    return routing;
}

void check_accounts(SettingsDocument const& document, std::vector<SettingsFault>& faults)
{
    std::set<std::string> hashes;
    for (auto const& account : document.accounts) {
        for (auto const& name : account.classes) {
            if (!document.find_class(name))
                faults.push_back({ account.path + "/classes", 0, name, "no leaf of the classes tree has this name" });
        }
        for (auto const& hash : account.key_hashes) {
            if (!hashes.insert(hash).second)
                faults.push_back(
                    { account.path + "/key_hashes", 0, hash, "this key belongs to another account already" });
        }
    }
}

void check_endpoints(SettingsDocument const& document, std::vector<SettingsFault>& faults)
{
    std::map<std::string, EndpointSettings const*> first_of_pool;
    std::map<std::string, std::string> pool_of_model;
    for (auto const& endpoint : document.endpoints) {
        auto const* first = first_of_pool.emplace(endpoint.pool, &endpoint).first->second;
        if (first->kind != endpoint.kind || first->checks_keys != endpoint.checks_keys)
            faults.push_back(
                { endpoint.path, 0, endpoint.pool, "endpoints of one pool must agree on kind and checks_keys" });
        if (endpoint.kind == EndpointKind::Model ? endpoint.models.empty() : endpoint.path_prefixes.empty())
            faults.push_back(
                { endpoint.path, 0, "", "a model endpoint needs `models`, a service endpoint `path_prefixes`" });
        for (auto const& model : endpoint.models) {
            if (pool_of_model.emplace(model, endpoint.pool).first->second != endpoint.pool)
                faults.push_back(
                    { endpoint.path + "/models", 0, model, "this model is served by another pool already" });
        }
    }
}

void check_floors(SettingsDocument const& document, std::vector<SettingsFault>& faults)
{
    double sum = 0;
    for (auto const& request_class : document.classes)
        sum += request_class.floor;
    if (sum > max_floor)
        faults.push_back(
            { "classes", 0, std::to_string(sum), "the floors of all classes together must not exceed 0.5" });
}

std::optional<CheckedSettings> read_document(YAML::Node const& root, std::vector<SettingsFault>& faults)
{
    auto const fault_count_before = faults.size();
    if (!root.IsMap()) {
        faults.push_back({ "", 0, "", "a document is a map with tiers, classes, accounts, endpoints and routing" });
        return {};
    }
    for (auto const& entry : root) {
        auto const key = entry.first.Scalar();
        if (key != "tiers" && key != "classes" && key != "accounts" && key != "endpoints" && key != "routing")
            faults.push_back({ key, entry.first.Mark().line + 1, "", "unknown key" });
    }
    SettingsDocument document;
    document.tiers = read_tiers(root["tiers"], faults);
    CheckedSettings settings { {}, SettingsTree::create(root["classes"], "classes", faults),
        SettingsTree::create(root["accounts"], "accounts", faults),
        SettingsTree::create(root["endpoints"], "endpoints", faults) };
    document.classes = read_leaves(settings.classes, class_rules(document.tiers), faults);
    document.accounts = read_leaves(settings.accounts, account_rules(), faults);
    document.endpoints = read_leaves(settings.endpoints, endpoint_rules(), faults);
    document.routing = read_routing(root["routing"], faults);
    check_accounts(document, faults);
    check_endpoints(document, faults);
    check_floors(document, faults);
    if (faults.size() != fault_count_before)
        return {};
    settings.document = std::move(document);
    return settings;
}

}

std::optional<CheckedSettings> read_settings(std::string const& text, std::vector<SettingsFault>& faults)
{
    auto const fault_count_before = faults.size();
    check_document_text(text, faults);
    if (faults.size() != fault_count_before)
        return {};
    // NOTE: The YAML library throws for some missing nodes and nodes of the wrong type; the document is then invalid.
    try {
        return read_document(YAML::Load(text), faults);
    } catch (YAML::Exception const& exception) {
        faults.push_back({ "", exception.mark.line + 1, "", exception.msg });
        return {};
    }
}

}
