#pragma once

namespace mulberrywall::support
{

/// Sets up the allocator so that freed memory returns to the system. Must be called before threads are started.
///
/// By default the allocator keeps freed blocks of bodies for later ones, and one heap for each thread, so that the resident memory of a
/// process grows to a multiple of what it holds.
void returnFreedMemory();

} // namespace mulberrywall::support
