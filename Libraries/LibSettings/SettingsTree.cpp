#include <LibSettings/SettingsTree.h>

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace Settings {

std::string SettingsFault::to_string() const
{
    return "path=" + this->path + " line=" + std::to_string(this->line) + " value=\"" + this->value + "\" reason=\""
        + this->reason + "\"";
}

std::string SettingValue::joined() const
{
    std::string joined;
    for (auto const& text : this->texts)
        joined += (joined.empty() ? "" : ", ") + text;
    return this->is_list ? "[" + joined + "]" : joined;
}

namespace {

int line_of(YAML::Node const& node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

std::optional<SettingValue> read_value(YAML::Node const& node)
{
    SettingValue value { .texts = {}, .is_list = node.IsSequence(), .line = line_of(node) };
    if (node.IsScalar()) {
        value.texts.push_back(node.Scalar());
        return value;
    }
    if (!node.IsSequence())
        return {};
    for (auto const& item : node) {
        if (!item.IsScalar())
            return {};
        value.texts.push_back(item.Scalar());
    }
    return value;
}

}

SettingsTree SettingsTree::create(YAML::Node const& node, std::string const& name, std::vector<SettingsFault>& faults)
{
    SettingsTree tree;
    if (!node.IsDefined()) {
        faults.push_back({ name, 0, "", "missing" });
        return tree;
    }
    tree.read_branch(node, name, {}, 0, faults);
    return tree;
}

void SettingsTree::read_branch(YAML::Node const& node, std::string const& name, std::optional<std::size_t> parent,
    std::size_t depth, std::vector<SettingsFault>& faults)
{
    auto const path = parent ? this->all_branches[*parent].path + "/" + name : name;
    if (!node.IsMap()) {
        faults.push_back({ path, line_of(node), "", "a branch must be a map with `set` and `branches`" });
        return;
    }
    if (depth > max_branch_depth) {
        faults.push_back({ path, line_of(node), "", "branches are nested too deep" });
        return;
    }
    auto const index = this->all_branches.size();
    this->all_branches.push_back({ name, path, line_of(node), parent, true, {} });
    for (auto const& entry : node) {
        auto const key = entry.first.Scalar();
        if (key == "set")
            this->read_own_values(entry.second, index, faults);
        else if (key != "branches")
            faults.push_back(
                { path + "/" + key, line_of(entry.first), "", "unknown key; a branch has only `set` and `branches`" });
    }
    auto const branches = node["branches"];
    if (!branches)
        return;
    this->all_branches[index].is_leaf = false;
    if (!branches.IsMap()) {
        faults.push_back({ path + "/branches", line_of(branches), "", "must be a map from name to branch" });
        return;
    }
    for (auto const& entry : branches)
        this->read_branch(entry.second, entry.first.Scalar(), index, depth + 1, faults);
}

void SettingsTree::read_own_values(YAML::Node const& node, std::size_t branch, std::vector<SettingsFault>& faults)
{
    auto const path = this->all_branches[branch].path;
    if (!node.IsMap()) {
        faults.push_back({ path + "/set", line_of(node), "", "must be a map from field to value" });
        return;
    }
    for (auto const& entry : node) {
        auto const field = entry.first.Scalar();
        auto value = read_value(entry.second);
        if (!value) {
            faults.push_back({ path + "/" + field, line_of(entry.second), "", "must be a text or a list of texts" });
            continue;
        }
        this->all_branches[branch].own_values.emplace(field, std::move(*value));
    }
}

std::optional<std::size_t> SettingsTree::find_leaf(std::string_view name) const
{
    auto const found = std::ranges::find_if(
        this->all_branches, [&](Branch const& branch) { return branch.is_leaf && branch.name == name; });
    if (found == this->all_branches.end())
        return {};
    return static_cast<std::size_t>(found - this->all_branches.begin());
}

std::map<std::string, InheritedValue> SettingsTree::resolve(std::size_t branch) const
{
    std::map<std::string, InheritedValue> resolved;
    for (std::optional<std::size_t> at = branch; at; at = this->all_branches[*at].parent) {
        // NOTE: emplace keeps what is there, so the nearest branch wins over its parents.
        for (auto const& [field, value] : this->all_branches[*at].own_values)
            resolved.emplace(field, InheritedValue { value, this->all_branches[*at].path });
    }
    return resolved;
}

}
