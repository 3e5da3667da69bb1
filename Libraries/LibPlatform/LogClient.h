#pragma once

#include <LibCore/Ids.h>
#include <LibCore/LastReason.h>
#include <LibCore/Time.h>
#include <LibPlatform/HttpAddress.h>

#include <string>
#include <variant>
#include <vector>

namespace Platform {

/// One record of a stream.
struct LogRecord {
    Core::Offset offset;
    std::string payload;

    bool operator==(LogRecord const&) const = default;
};

/// Consecutive records of a stream, as returned by one read.
struct LogPage {
    std::vector<LogRecord> records;
    /// The offset of the oldest record that the platform still keeps.
    Core::Offset earliest;
    /// The offset of the next record to be appended.
    Core::Offset next;

    bool operator==(LogPage const&) const = default;
};

/// The record was appended at this offset.
struct Appended {
    Core::Offset offset;
};
/// The record was not appended, and never will be.
struct AppendRefused {
    std::string reason;
};
/// The platform gave no usable answer. The record may have been appended, may be appended later, or never.
struct AppendUnknown {
    std::string reason;
};
using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

/// Client of the platform's append-only log. Each call opens its own connection; safe to use from several threads.
///
/// `POST /streams/NAME/records` appends its body as the payload and returns `{"offset": N}`.
/// `GET /streams/NAME/records?from=N&max=M&wait_ms=W` returns `earliest`, `next` and `records`, with payloads in
/// base64.
class LogClient {
public:
    explicit LogClient(HttpAddress address)
        : address(std::move(address))
    {
    }

    /// Appends a record. `timeout` limits the wait for the answer.
    [[nodiscard]] AppendResult append(
        std::string const& stream, std::string const& payload, Core::Duration timeout) const;
    /// Reads records from offset `from` on, and waits up to `wait` if there are none yet. Returns nothing, with a
    /// reason, if the platform gives no usable answer.
    [[nodiscard]] std::optional<LogPage> read(
        std::string const& stream, Core::Offset from, Core::Duration wait, Core::LastReason& last_reason) const;

private:
    HttpAddress address;
};

}
