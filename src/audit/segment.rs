//! The format of the audit files: entries are serialized by postcard with a CRC, and framed by COBS
//! with a zero byte as the delimiter.
use super::Entry;

const CHECKSUM: crc::Crc<u32> = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);
/// Ends each frame; does not occur within a frame.
pub(super) const DELIMITER: u8 = 0;

/// The content of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentContent {
    /// The entries that could be decoded.
    pub entries: Vec<Entry>,
    /// The number of damaged frames.
    pub damaged_frames: u64,
}

/// Encodes an entry as a frame with its delimiter.
pub fn encode_frame(entry: &Entry) -> Vec<u8> {
    let plain = postcard::to_allocvec_crc32(entry, CHECKSUM.digest())
        .expect("postcard can serialize every entry");
    let mut frame = cobs::encode_vec(&plain);
    frame.push(DELIMITER);
    frame
}

/// Decodes the entries of a file. A last frame without a delimiter is still being written, or was
/// being written when the process was killed. It is ignored and does not count as damaged.
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
