//! Makes the allocator return freed memory to the operating system.
//!
//! By default, glibc raises the size from which it maps a block on its own up to 32 MB as such blocks are
//! freed. The buffers of later peers then come from its heap, whose memory stays with the process after
//! they are freed. Other allocators keep their defaults.

/// Size in bytes from which a block is mapped on its own, and unmapped when it is freed. A larger value
/// leaves more freed memory in the heap; a smaller one costs more system calls.
#[cfg(target_env = "gnu")]
const MAPPED_BLOCK_BYTES: libc::c_int = 48 << 10;
/// Number of free bytes at the end of the heap from which it shrinks.
#[cfg(target_env = "gnu")]
const TRIM_BYTES: libc::c_int = 256 << 10;
/// Number of heaps. By default, each thread has its own, and each of them keeps freed memory.
#[cfg(target_env = "gnu")]
const MAX_HEAPS: libc::c_int = 1;

/// Configures the allocator; must be called before other threads start.
pub(super) fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the calls change parameters of the allocator only. A rejected value leaves its default.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_BYTES);
        libc::mallopt(libc::M_ARENA_MAX, MAX_HEAPS);
    }
}

/// Returns the free pages of the heap to the operating system.
pub(super) fn trim() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call releases pages that hold no allocated block.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// The allocator's figures, in bytes.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct HeapBytes {
    /// Bytes of the heap in allocated blocks.
    pub(super) in_use: usize,
    /// Bytes of the heap in free blocks.
    pub(super) free: usize,
    /// Bytes of blocks that are mapped on their own.
    pub(super) mapped: usize,
}

impl HeapBytes {
    #[cfg(target_env = "gnu")]
    pub(super) fn measure() -> Self {
        // SAFETY: the function takes no arguments and only reads the allocator's state.
        let info = unsafe { libc::mallinfo2() };
        HeapBytes {
            in_use: info.uordblks,
            free: info.fordblks,
            mapped: info.hblkhd,
        }
    }

    #[cfg(not(target_env = "gnu"))]
    pub(super) fn measure() -> Self {
        HeapBytes::default()
    }
}
