#include <LibCore/Allocator.h>

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace Core {

void return_freed_blocks()
{
#ifdef __GLIBC__
    constexpr int min_mapped_bytes = 64 * 1024;
    mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
    mallopt(M_TRIM_THRESHOLD, 4 * min_mapped_bytes);
#endif
}

}
