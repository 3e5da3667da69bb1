#include <TestMain.h>

#include <LibMembership/CompressedText.h>
#include <pcg_random.hpp>
#include <vector>

namespace {

using namespace Membership;

CompressedText compressed(std::string_view text)
{
    Core::LastReason reason;
    auto result = CompressedText::of(text, reason);
    REQUIRE_MESSAGE(result, reason.text);
    return *result;
}

/// The text that a box decodes from these bytes and this announced size; nothing, with a reason, if it rejects them.
std::optional<std::string> received(std::string bytes, std::uint64_t text_size)
{
    Core::LastReason reason;
    std::optional<std::string> text;
    if (auto const decoded = CompressedText::from_bytes(std::move(bytes), text_size, reason))
        text = decoded->text(reason);
    CHECK(text.has_value() == reason.text.empty());
    return text;
}

/// Letters of a small alphabet with repetitions of earlier parts, or any bytes: both easy and hard to compress.
std::string random_text(pcg32& random)
{
    std::string text;
    auto const length = random(3) == 0 ? random(40) : random(200'000);
    unsigned const alphabet = random(4) == 0 ? 256 : 1 + random(26);
    while (text.size() < length) {
        if (text.size() > 10 && random(3) != 0) {
            auto const from = random(static_cast<std::uint32_t>(text.size()));
            text += text.substr(from, random(400));
        } else {
            text += static_cast<char>('a' + random(alphabet));
        }
    }
    return text;
}

}

TEST_CASE("a text is restored from its compressed form, and repetitive text becomes far smaller")
{
    std::string text;
    for (int number = 0; number < 3000; ++number)
        text += R"({"name":"r)" + std::to_string(number) + R"(","host":"a.example","kind":"idempotent"},)";
    auto const result = compressed(text);
    CHECK(result.text_size() == text.size());
    CHECK(result.bytes().size() < text.size() / 7);
    CHECK(received(result.bytes(), text.size()) == text);
    CHECK(compressed("") == compressed(""));
    CHECK(received(compressed("").bytes(), 0) == "");
    CHECK(compressed("a") != compressed("b"));
}

TEST_CASE("any text is restored completely, and truncated or extended bytes are rejected")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        auto const text = random_text(random);
        auto const bytes = compressed(text).bytes();
        REQUIRE(received(bytes, text.size()) == text);
        auto const part = bytes.substr(0, random(static_cast<std::uint32_t>(bytes.size())));
        REQUIRE(!received(part, text.size()));
        REQUIRE(!received(bytes + "x", text.size()));
        REQUIRE(!received(bytes, text.size() + 1));
        if (!text.empty())
            REQUIRE(!received(bytes, text.size() - 1));
    }
}

TEST_CASE("a text is restored when its compressed form exactly fills the output buffer")
{
    pcg32 random(20261202);
    std::string text;
    while (text.size() < 16'400) {
        text += static_cast<char>(random(256));
        if (text.size() > 16'300)
            REQUIRE(received(compressed(text).bytes(), text.size()) == text);
    }
}

TEST_CASE("corrupt bytes are rejected or decode to a text of the announced size, never to more")
{
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        auto const text = random_text(random);
        auto bytes = compressed(text).bytes();
        for (int broken = 0; broken < 3; ++broken)
            bytes[random(static_cast<std::uint32_t>(bytes.size()))] ^= static_cast<char>(1U << random(8));
        auto const decoded = received(bytes, text.size());
        if (decoded)
            REQUIRE(decoded->size() == text.size());
        else
            ++refused;
        auto const noise = std::string(bytes.rbegin(), bytes.rend());
        if (auto const from_noise = received(noise, text.size()))
            REQUIRE(from_noise->size() == text.size());
    }
    // Raw deflate has no checksum: a changed byte of a literal may go undetected.
    CHECK(refused > 200);
}

TEST_CASE("a few bytes never cause a larger allocation than they can encode, or than the size limit")
{
    auto const bomb = compressed(std::string(CompressedText::max_text_size, 'a'));
    CHECK(bomb.bytes().size() < 100'000);
    CHECK(!received(bomb.bytes(), 1000));
    CHECK(!received(bomb.bytes(), CompressedText::max_text_size + 1));
    CHECK(!received("abc", CompressedText::max_text_size));
    CHECK(!received("", 1));
    CHECK(!received("", 0));
    Core::LastReason reason;
    CHECK(!CompressedText::of(std::string(CompressedText::max_text_size + 1, 'a'), reason));
    CHECK(!reason.text.empty());
}

TEST_CASE("copies share the bytes")
{
    std::vector const copies(2, compressed("text"));
    CHECK(copies[0].share_bytes().get() == copies[1].share_bytes().get());
}
