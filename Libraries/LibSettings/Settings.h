#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Settings as resolved from the trees: immutable values that the rest of the program reads.
namespace Settings {

enum class TargetKind {
    FirstToken,
    WholeAnswer,
};

enum class EndpointKind {
    Model,
    Service,
};

/// Policy for order, admission and placement. The baselines exist for comparison.
enum class PolicyName {
    Cleatbeam,
    RoundRobinFifo,
    LeastOutstandingFifo,
    LeastOutstandingStrict,
};

[[nodiscard]] std::string_view to_string(PolicyName policy);

struct ClassSettings {
    std::string name;
    std::string path;
    Core::TierId tier;
    Core::Duration target { 0 };
    TargetKind target_kind { TargetKind::FirstToken };
    /// Longest time that the client waits, from arrival to the end of the answer.
    Core::Duration patience { 0 };
    /// Share of a pool's work, 0 to 0.5, that this class gets whenever it has requests queued.
    double floor { 0 };
    /// Whether an answer after the target is still useful to the client.
    bool late_answer_useful { true };
    bool repeatable { true };

    bool operator==(ClassSettings const&) const = default;
};

struct AccountSettings {
    std::string name;
    std::string path;
    /// SHA-256 in hex of each key; the keys themselves are never in settings.
    std::vector<std::string> key_hashes;
    std::vector<std::string> classes;
    /// Share relative to other accounts of one class.
    double weight { 1 };

    bool operator==(AccountSettings const&) const = default;
};

struct EndpointSettings {
    std::string name;
    std::string path;
    std::string pool;
    EndpointKind kind { EndpointKind::Model };
    std::string host;
    int port { 0 };
    std::string failure_domain;
    /// Concurrent requests before the endpoint queues, until it reports another number.
    int slots { 1 };
    std::vector<std::string> models;
    /// Paths of a plain service that go to this endpoint, as prefixes.
    std::vector<std::string> path_prefixes;
    /// Whether the endpoint itself runs each key at most once.
    bool checks_keys { false };

    bool operator==(EndpointSettings const&) const = default;
};

struct RoutingSettings {
    PolicyName policy { PolicyName::Cleatbeam };
    /// How many boxes share the endpoints.
    int boxes { 1 };
    bool preemption { true };
    /// Retries allowed as a share of requests.
    double retry_share { 0.1 };
    /// How often a box asks an endpoint for its load.
    Core::Duration report_interval { std::chrono::milliseconds(250) };

    bool operator==(RoutingSettings const&) const = default;
};

struct SettingsDocument {
    std::vector<std::string> tiers;
    std::vector<ClassSettings> classes;
    std::vector<AccountSettings> accounts;
    std::vector<EndpointSettings> endpoints;
    RoutingSettings routing;

    bool operator==(SettingsDocument const&) const = default;

    [[nodiscard]] std::optional<Core::ClassId> find_class(std::string_view name) const;
};

}
