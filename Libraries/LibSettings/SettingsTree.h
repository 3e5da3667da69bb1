#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
}

namespace Settings {

/// A fault found in a settings document. Lines start at 1; 0 if the line is unknown.
struct SettingsFault {
    std::string path;
    int line { 0 };
    std::string value;
    std::string reason;

    bool operator==(SettingsFault const&) const = default;
    /// One line for an operator: path, line, value and reason.
    [[nodiscard]] std::string to_string() const;
};

/// A value as written: one text, or a list of texts.
struct SettingValue {
    std::vector<std::string> texts;
    bool is_list { false };
    int line { 0 };

    bool operator==(SettingValue const&) const = default;
    [[nodiscard]] std::string joined() const;
};

/// A value together with the branch that set it.
struct InheritedValue {
    SettingValue value;
    std::string source_path;

    bool operator==(InheritedValue const&) const = default;
};

/// One tree of settings: a branch inherits each value of its parent and overrides what it sets itself.
class SettingsTree {
public:
    struct Branch {
        std::string name;
        std::string path;
        int line { 0 };
        std::optional<std::size_t> parent;
        bool is_leaf { true };
        std::map<std::string, SettingValue> own_values;
    };

    static constexpr std::size_t max_branch_depth = 16;

    /// Reads the tree below `node`; faults are appended and the faulty part is left out.
    [[nodiscard]] static SettingsTree create(
        YAML::Node const& node, std::string const& name, std::vector<SettingsFault>& faults);

    [[nodiscard]] std::vector<Branch> const& branches() const { return this->all_branches; }
    /// Index of the leaf named `name`, or nothing.
    [[nodiscard]] std::optional<std::size_t> find_leaf(std::string_view name) const;
    /// All values in force at a branch, each with the path it was inherited from.
    [[nodiscard]] std::map<std::string, InheritedValue> resolve(std::size_t branch) const;

private:
    SettingsTree() = default;
    void read_branch(YAML::Node const& node, std::string const& name, std::optional<std::size_t> parent,
        std::size_t depth, std::vector<SettingsFault>& faults);
    void read_own_values(YAML::Node const& node, std::size_t branch, std::vector<SettingsFault>& faults);

    std::vector<Branch> all_branches;
};

}
