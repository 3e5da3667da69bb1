#include <LibPlatform/Digest.h>

#include <array>
#include <openssl/sha.h>

namespace Platform {

std::string sha256_hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    std::string hex;
    for (auto const byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

}
