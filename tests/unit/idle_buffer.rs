//! Which buffers of idle connections keep their memory.
use super::{IDLE_CAPACITY_BYTES, free_grown_buffer};

#[test]
fn only_a_grown_empty_buffer_is_freed() {
    let mut small = Vec::with_capacity(IDLE_CAPACITY_BYTES);
    let mut grown = Vec::with_capacity(IDLE_CAPACITY_BYTES + 1);
    let mut used = Vec::with_capacity(IDLE_CAPACITY_BYTES + 1);
    used.push(0);

    for buffer in [&mut small, &mut grown, &mut used] {
        free_grown_buffer(buffer);
    }

    assert_eq!(small.capacity(), IDLE_CAPACITY_BYTES);
    assert_eq!(grown.capacity(), 0);
    assert_eq!(used, [0]);
}
