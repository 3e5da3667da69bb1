#include <LibRouting/CrashSuspect.h>

#include <array>
#include <charconv>
#include <xxhash.h>

namespace Routing {

namespace {

/// Chained, so that "/a" + "bc" and "/ab" + "c" have different hashes.
std::uint64_t chain_hash(std::uint64_t before, std::string_view part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), before);
}

std::string hexadecimal(std::uint64_t number)
{
    constexpr int base = 16;
    constexpr std::size_t digits = 16;
    std::array<char, digits> text {};
    auto const end = std::to_chars(text.data(), text.data() + digits, number, base).ptr;
    std::string written(text.data(), end);
    return std::string(digits - written.size(), '0') + written;
}

}

CrashSuspect fingerprint_of(
    std::string_view account, std::string_view host, std::string_view target, std::string_view body)
{
    return { chain_hash(0, account), chain_hash(chain_hash(chain_hash(0, host), target), body) };
}

CrashSuspect prompt_part_suspect(std::string_view service, std::uint64_t part_id)
{
    return { 0, chain_hash(chain_hash(0, service), hexadecimal(part_id)), CrashSuspect::Kind::PromptPart };
}

CrashSuspects suspects_of(CrashSuspect request, std::string_view service, std::vector<PromptPart> const& prompt)
{
    CrashSuspects suspects { request, {} };
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index)
        suspects.prompt_parts.push_back(prompt_part_suspect(service, prompt[index].id));
    return suspects;
}

std::string to_string(CrashSuspect suspect)
{
    if (suspect.kind == CrashSuspect::Kind::PromptPart)
        return "part-" + hexadecimal(suspect.content);
    return hexadecimal(suspect.account) + hexadecimal(suspect.content);
}

}
