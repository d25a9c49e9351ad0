//! The memory that the buffers of an idle connection keep.

/// The capacity that an empty buffer keeps, in bytes.
pub(crate) const IDLE_CAPACITY_BYTES: usize = 4 * 1024;

/// Frees the memory of an empty buffer that has grown beyond [`IDLE_CAPACITY_BYTES`].
///
/// A grown buffer is not shrunk: that would leave a small block in the place of each large one, and
/// these blocks would keep the allocator from returning the memory between them to the system.
pub(crate) fn free_grown_buffer(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > IDLE_CAPACITY_BYTES {
        *buffer = Vec::new();
    }
}

#[cfg(test)]
#[path = "../tests/unit/idle_buffer.rs"]
mod tests;
