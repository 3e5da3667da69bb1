#include <LibServer/Credentials.h>

#include <openssl/crypto.h>

namespace Server {

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view bearer_key(std::string_view header_value)
{
    constexpr std::string_view scheme = "Bearer ";
    return header_value.starts_with(scheme) ? header_value.substr(scheme.size()) : std::string_view {};
}

}
