#pragma once

namespace Core {

/// Has the allocator return large blocks to the system as soon as they are freed. By default the C library raises the
/// size from which it does so with each freed block, up to 32 MB, and then keeps the memory of large request bodies. To
/// be called once, before other threads start.
void return_freed_blocks();

}
