#include <LibPlatform/HttpAddress.h>

#include <charconv>

namespace Platform {

std::optional<HttpAddress> HttpAddress::try_create(std::string const& text)
{
    constexpr int max_port = 65535;
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return {};
    HttpAddress address { text.substr(0, colon), 0 };
    auto const* last = text.data() + text.size();
    auto const result = std::from_chars(text.data() + colon + 1, last, address.port);
    if (result.ec != std::errc {} || result.ptr != last || address.port < 0 || address.port > max_port)
        return {};
    return address;
}

}
