#pragma once

#include <LibGateway/ControlRecords.h>
#include <LibGateway/StoreConnection.h>
#include <LibMembership/ControlSource.h>

#include <functional>

namespace Gateway {

/// The path under which a box asks another what it knows from the store.
inline constexpr std::string_view control_path = "/control";

/// Asks the relay that ControlSource names what the store says, and takes its answers.
class RelayFollower {
public:
    /// Called when this box has to read the store itself from now on.
    using OnChange = std::function<void()>;
    /// Called when the relay knows of a configuration that it did not pass on.
    using OnMissingConfiguration = std::function<void()>;

    RelayFollower(GatewayState& state, ControlRecords& records, Membership::ControlSource& source, OnChange on_change,
        OnMissingConfiguration on_missing_configuration);

    /// Runs until the process ends.
    [[nodiscard]] Task<void> run();
    /// Looks at once for what has changed, such as the list of boxes.
    void wake() { this->pause.interrupt(); }

private:
    /// False if the relay gave no answer that can be used, so that another one has to be asked.
    [[nodiscard]] Task<bool> ask(Membership::BoxRecord const& relay);
    /// `patience` is the longest silence before the answer and within it.
    [[nodiscard]] Task<std::optional<StoreAnswer>> call(
        std::string const& question, Core::Duration patience, Core::LastReason& last_reason);
    /// For the log: why this box reads the store, after it asked this relay or none.
    [[nodiscard]] std::string_view why_it_reads(std::optional<Membership::BoxRecord> const& relay) const;
    void use(Membership::BoxRecord const& relay);
    void note_failure(Membership::BoxRecord const& relay, std::string const& reason);

    GatewayState& state;
    ControlRecords& records;
    Membership::ControlSource& source;
    OnChange on_change;
    OnMissingConfiguration on_missing_configuration;
    InterruptibleTimer pause;
    /// The connection to the relay in use, and the name of its box; nothing before the first.
    std::optional<StoreConnection> connection;
    std::string relay_name;
    Routing::SocketAddress relay_address;
    /// Whether its last answer could be used, so that changes alone are logged.
    bool is_answering { false };
    bool was_reading_store { false };
};

}
