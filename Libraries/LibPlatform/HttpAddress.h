#pragma once

#include <optional>
#include <string>

namespace Platform {

/// Where a listener is: an IP number and a port.
struct HttpAddress {
    std::string host;
    int port { 0 };

    bool operator==(HttpAddress const&) const = default;
    /// Reads "10.0.0.7:8000"; nothing for any other form. Port 0 means that the kernel chooses.
    [[nodiscard]] static std::optional<HttpAddress> try_create(std::string const& text);
    [[nodiscard]] std::string to_string() const { return this->host + ":" + std::to_string(this->port); }
};

}
