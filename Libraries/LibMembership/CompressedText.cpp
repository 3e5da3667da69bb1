#include <LibMembership/CompressedText.h>

#include <array>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace Membership {

namespace {

namespace zlib = boost::beast::zlib;

/// Of 494,557 bytes with 2,850 routes, level 3 leaves 60,121, level 1 leaves 67,479 and level 6 leaves 51,615,
/// for 20.7, 20.3 and 38.8 million instructions; decoding the same record takes 29.7 million (callgrind). So the event
/// loop stands still for less time at level 3 than it does for each record anyway, and at level 6 for more.
constexpr int level = 3;
/// The base two logarithm of the window, and the format's greatest: names of hosts come back thousands of bytes later.
constexpr int window_bits = 15;
/// The library's own choice: 256 KB while a text is compressed, with the window.
constexpr int memory_level = 8;
/// Bytes that are made at a time.
constexpr std::size_t piece_size = 16UL * 1024;
/// RFC 1951: at best one bit names 258 bytes' length and one their distance, so a byte stands for at most 1,032.
constexpr std::uint64_t max_text_per_byte = 1032;
/// What an empty stored block looks like. Texts end with one and not with the format's own end, since the library's
/// reader looks further ahead than the shortest codes are long and finds no end where nothing follows it.
constexpr std::string_view end_marker { "\0\0\xff\xff", 4 };

/// Writes all that the stream has for this input and way of flushing; false if it reports an error.
bool write_all(zlib::deflate_stream& stream, zlib::z_params& progress, zlib::Flush flush, std::string& bytes)
{
    std::array<char, piece_size> piece {};
    do {
        progress.next_out = piece.data();
        progress.avail_out = piece.size();
        boost::beast::error_code error;
        stream.write(progress, flush, error);
        bytes.append(piece.data(), piece.size() - progress.avail_out);
        // NOTE: The stream calls it a lack of buffers when it has nothing left to do.
        if (error && error != zlib::error::need_buffers)
            return false;
    } while (progress.avail_out == 0);
    return true;
}

/// Empty if the stream reports an error.
std::string deflated(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    zlib::z_params progress {};
    progress.next_in = text.data();
    progress.avail_in = text.size();
    std::string bytes;
    bool const is_whole = write_all(stream, progress, zlib::Flush::none, bytes)
        && write_all(stream, progress, zlib::Flush::sync, bytes);
    return is_whole ? bytes : "";
}

}

CompressedText::CompressedText(std::string bytes, std::size_t text_size)
    : shared_bytes(std::make_shared<std::string const>(std::move(bytes)))
    , original_size(text_size)
{
}

std::optional<CompressedText> CompressedText::of(std::string_view text, Core::LastReason& last_reason)
{
    if (text.size() > max_text_size) {
        last_reason.text = "text too long to be passed on";
        return {};
    }
    auto bytes = deflated(text);
    if (!bytes.ends_with(end_marker)) {
        last_reason.text = "text can't be compressed";
        return {};
    }
    bytes.shrink_to_fit();
    return CompressedText(std::move(bytes), text.size());
}

std::optional<CompressedText> CompressedText::from_bytes(
    std::string bytes, std::uint64_t text_size, Core::LastReason& last_reason)
{
    if (text_size > max_text_size) {
        last_reason.text = "compressed text too long";
        return {};
    }
    if (text_size > bytes.size() * max_text_per_byte) {
        last_reason.text = "compressed text longer than its bytes can hold";
        return {};
    }
    return CompressedText(std::move(bytes), text_size);
}

std::optional<std::string> CompressedText::text(Core::LastReason& last_reason) const
{
    if (!this->bytes().ends_with(end_marker)) {
        last_reason.text = "compressed text is cut off";
        return {};
    }
    // NOTE: One byte more than was said, so that bytes that hold more are noticed; the stream never gets room for more.
    std::string text(this->original_size + 1, '\0');
    zlib::inflate_stream stream;
    zlib::z_params progress {};
    progress.next_in = this->bytes().data();
    progress.avail_in = this->bytes().size();
    progress.next_out = text.data();
    progress.avail_out = text.size();
    boost::beast::error_code error;
    stream.write(progress, zlib::Flush::sync, error);
    if (error) {
        last_reason.text = "compressed text is broken: " + error.message();
        return {};
    }
    if (progress.total_out != this->original_size || progress.avail_in != 0) {
        last_reason.text = "compressed text is not as long as was said";
        return {};
    }
    text.resize(this->original_size);
    return text;
}

}
