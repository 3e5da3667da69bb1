#pragma once

#include <LibGateway/ControlRecords.h>
#include <LibGateway/HttpConnection.h>
#include <LibMembership/ControlSource.h>

#include <functional>

namespace Gateway {

/// The path under which a box asks a relay for store records.
inline constexpr std::string_view control_path = "/control";

/// Asks the relay chosen by ControlSource for store records and applies its answers.
class RelayFollower {
public:
    /// Called when this box has to read the store itself from now on.
    using OnStoreReadNeeded = std::function<void()>;
    /// Called when the relay has a newer configuration that it did not pass on.
    using OnMissingConfiguration = std::function<void()>;

    RelayFollower(GatewayState& state, ControlRecords& records, Membership::ControlSource& source,
        OnStoreReadNeeded on_store_read_needed, OnMissingConfiguration on_missing_configuration);

    /// Runs until the process ends.
    [[nodiscard]] Task<void> run();
    /// Checks at once for changes, such as a new list of boxes.
    void wake() { this->pause.interrupt(); }

private:
    /// False if the relay gave no usable answer, so that another one has to be asked.
    [[nodiscard]] Task<bool> ask(Membership::BoxRecord const& relay);
    /// `timeout` limits the silence before the answer and between its pieces. `last_reason` receives the error.
    [[nodiscard]] Task<std::optional<HttpAnswer>> call(
        std::string const& request, Core::Duration timeout, Core::LastReason& last_reason);
    /// For the log: why this box reads the store after it asked this relay, or none.
    [[nodiscard]] std::string_view store_reading_reason(std::optional<Membership::BoxRecord> const& relay) const;
    void connect_to(Membership::BoxRecord const& relay);
    void note_failure(Membership::BoxRecord const& relay, std::string const& reason);

    GatewayState& state;
    ControlRecords& records;
    Membership::ControlSource& source;
    OnStoreReadNeeded on_store_read_needed;
    OnMissingConfiguration on_missing_configuration;
    InterruptibleTimer pause;
    /// The connection to the current relay and the relay's name; empty before the first.
    std::optional<HttpConnection> connection;
    std::string relay_name;
    Routing::SocketAddress relay_address;
    /// Whether the relay's last answer was usable, so that only changes are logged.
    bool is_answering { false };
    bool is_reading_store { false };
};

}
