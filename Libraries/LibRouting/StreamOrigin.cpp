#include <LibRouting/StreamOrigin.h>

#include <xxhash.h>

namespace Routing {

StreamId stream_id_of(std::string_view account, std::string_view attempt)
{
    return { XXH3_64bits(account.data(), account.size()), XXH3_64bits(attempt.data(), attempt.size()) };
}

}
