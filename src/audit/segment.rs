//! The format of the audit's files: entries in postcard with a CRC, framed by COBS with a zero
//! byte as the delimiter.
use super::Entry;

const CHECKSUM: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);
/// Ends each frame, and does not occur in one.
pub(super) const DELIMITER: u8 = 0;

/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentContent {
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// How many frames were damaged.
    pub damaged_frames: u64,
}

/// One entry as a frame with its delimiter.
pub fn encode_frame(entry: &Entry) -> Vec<u8> {
    let plain = postcard::to_allocvec_crc32(entry, CHECKSUM.digest())
        .expect("an entry has no value that postcard can't write");
    let mut frame = cobs::encode_vec(&plain);
    frame.push(DELIMITER);
    frame
}

/// The entries of a file. A last frame without its delimiter is being written, or was when the
/// process died: it is ignored and does not count as damaged.
pub fn decode_segment(bytes: &[u8]) -> SegmentContent {
    let last_delimiter = bytes.iter().rposition(|byte| *byte == DELIMITER);
    let complete = &bytes[..last_delimiter.unwrap_or(0)];
    let mut content = SegmentContent::default();
    for frame in complete.split(|byte| *byte == DELIMITER) {
        if frame.is_empty() {
            continue;
        }
        match decode_frame(frame) {
            Some(entry) => content.entries.push(entry),
            None => content.damaged_frames += 1,
        }
    }
    content
}

fn decode_frame(frame: &[u8]) -> Option<Entry> {
    let plain = cobs::decode_vec(frame).ok()?;
    postcard::from_bytes_crc32(&plain, CHECKSUM.digest()).ok()
}
