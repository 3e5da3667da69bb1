#include <LibPlatform/Base64.h>

#include <openssl/evp.h>

namespace Platform {

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return {};
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    auto const length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return {};
    // NOTE: The decoder returns a zero byte for each padding character.
    auto padding = text.ends_with("==") ? 2U : text.ends_with("=") ? 1U : 0U;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}
