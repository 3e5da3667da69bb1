#pragma once

#include <optional>
#include <string>

namespace Platform {

/// The IP address and port of an HTTP server.
struct HttpAddress {
    std::string host;
    int port { 0 };

    bool operator==(HttpAddress const&) const = default;
    /// Parses text like "10.0.0.7:8000". Returns nothing for any other form. For a listener, port 0 lets the kernel
    /// choose a port.
    [[nodiscard]] static std::optional<HttpAddress> try_create(std::string const& text);
    [[nodiscard]] std::string to_string() const { return this->host + ":" + std::to_string(this->port); }
};

}
