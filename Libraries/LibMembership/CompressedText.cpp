#include <LibMembership/CompressedText.h>

#include <array>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace Membership {

namespace {

namespace zlib = boost::beast::zlib;

/// For 494,557 bytes with 2,850 routes, level 3 produces 60,121 bytes, level 1 67,479 and level 6 51,615, in 20.7, 20.3
/// and 38.8 million instructions; decoding the same record takes 29.7 million. So level 3 blocks the event loop for
/// less time than the decoding of each record does, and level 6 for more.
constexpr int level = 3;
/// Base two logarithm of the window size, the format's maximum: host names repeat at distances of thousands of bytes.
constexpr int window_bits = 15;
/// The library's default: 256 KB while a text is compressed, with the window.
constexpr int memory_level = 8;
/// Size of the output buffer, in bytes.
constexpr std::size_t piece_size = 16UL * 1024;
/// RFC 1951: at best one bit encodes a length of 258 bytes and one bit their distance, so a byte encodes at most 1,032
/// bytes.
constexpr std::uint64_t max_text_per_byte = 1032;
/// An empty stored block. Texts end with one instead of the format's final block, since the library's decoder reads
/// ahead further than the shortest codes are long, and misses a final block at the very end of its input.
constexpr std::string_view end_marker { "\0\0\xff\xff", 4 };

/// Appends all output of the stream for this input and flush mode; false if the stream reports an error.
bool write_all(zlib::deflate_stream& stream, zlib::z_params& progress, zlib::Flush flush, std::string& bytes)
{
    std::array<char, piece_size> piece {};
    do {
        progress.next_out = piece.data();
        progress.avail_out = piece.size();
        boost::beast::error_code error;
        stream.write(progress, flush, error);
        bytes.append(piece.data(), piece.size() - progress.avail_out);
        // NOTE: The stream reports a lack of buffers when it has no more output.
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
        last_reason.text = "text exceeds the size limit";
        return {};
    }
    auto bytes = deflated(text);
    if (!bytes.ends_with(end_marker)) {
        last_reason.text = "text could not be compressed";
        return {};
    }
    bytes.shrink_to_fit();
    return CompressedText(std::move(bytes), text.size());
}

std::optional<CompressedText> CompressedText::from_bytes(
    std::string bytes, std::uint64_t text_size, Core::LastReason& last_reason)
{
    if (text_size > max_text_size) {
        last_reason.text = "compressed text exceeds the size limit";
        return {};
    }
    if (text_size > bytes.size() * max_text_per_byte) {
        last_reason.text = "compressed text announced larger than its bytes can encode";
        return {};
    }
    return CompressedText(std::move(bytes), text_size);
}

std::optional<std::string> CompressedText::text(Core::LastReason& last_reason) const
{
    if (!this->bytes().ends_with(end_marker)) {
        last_reason.text = "compressed text is truncated";
        return {};
    }
    // NOTE: One byte more than the expected size, to detect bytes that encode more; the stream never gets more room.
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
        last_reason.text = "compressed text is corrupt: " + error.message();
        return {};
    }
    if (progress.total_out != this->original_size || progress.avail_in != 0) {
        last_reason.text = "compressed text differs from its announced size";
        return {};
    }
    text.resize(this->original_size);
    return text;
}

}
