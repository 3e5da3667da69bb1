#pragma once

#include <LibCore/Ids.h>
#include <LibCore/LastReason.h>
#include <LibCore/Time.h>
#include <LibPlatform/HttpAddress.h>

#include <string>
#include <variant>
#include <vector>

namespace Platform {

struct LogRecord {
    Core::Offset offset;
    std::string payload;

    bool operator==(LogRecord const&) const = default;
};

/// A stretch of a stream, as one read returns it.
struct LogPage {
    std::vector<LogRecord> records;
    /// The oldest offset still kept.
    Core::Offset earliest;
    /// The offset that the next append will get.
    Core::Offset next;

    bool operator==(LogPage const&) const = default;
};

/// The record stands at this offset.
struct Appended {
    Core::Offset offset;
};
/// The platform said that it did not take the record.
struct AppendRefused {
    std::string reason;
};
/// No answer: the record may stand, may turn up later, or may never.
struct AppendUnknown {
    std::string reason;
};
using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

/// Client of the platform's append-only log. Each call opens its own connection; safe to use from several threads.
///
/// `POST /streams/NAME/records` takes the payload as it is and answers `{"offset": N}`.
/// `GET /streams/NAME/records?from=N&max=M&wait_ms=W` answers `earliest`, `next` and `records`, payloads in base64.
class LogClient {
public:
    explicit LogClient(HttpAddress address)
        : address(std::move(address))
    {
    }

    [[nodiscard]] AppendResult append(
        std::string const& stream, std::string const& payload, Core::Duration timeout) const;
    /// Waits up to `wait` for a record at or after `from`. Nothing when the platform does not answer.
    [[nodiscard]] std::optional<LogPage> read(
        std::string const& stream, Core::Offset from, Core::Duration wait, Core::LastReason& last_reason) const;

private:
    HttpAddress address;
};

}
