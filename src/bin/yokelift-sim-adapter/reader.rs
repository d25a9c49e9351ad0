//! Reads the fields of a frame: big-endian, without padding.

use crate::error::FrameError;
use crate::records::RecordCode;
use bytes::Buf;
use yokelift::policy::api::{EngineId, LoadReport, OutcomeKind};

/// Bytes of a frame's length field; positions include them.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Bytes of an engine's address: IPv4 and port.
const ENGINE_BYTES: usize = 6;

/// Bits of a port, which is the low part of an engine's id.
const PORT_BITS: u32 = 16;

/// Reads the fields of one frame in order and tracks the position for error messages. Methods take
/// the name of the field in the simulator's protocol.
pub(crate) struct FrameReader<'a> {
    body_length: usize,
    rest: &'a [u8],
}

impl<'a> FrameReader<'a> {
    /// Creates a reader of `body`, which starts after the frame's length field.
    pub(crate) fn new(body: &'a [u8]) -> FrameReader<'a> {
        FrameReader {
            body_length: body.len(),
            rest: body,
        }
    }

    /// Byte position within the frame, including its length field.
    pub(crate) fn position(&self) -> usize {
        LENGTH_BYTES + self.body_length - self.rest.len()
    }

    /// Whether the whole frame has been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Returns an error unless `count` bytes are left.
    pub(crate) fn require(&self, count: usize, field: &'static str) -> Result<(), FrameError> {
        if self.rest.len() < count {
            let position = self.position();
            return Err(FrameError::Truncated { position, field });
        }
        Ok(())
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, FrameError> {
        self.require(1, field)?;
        Ok(self.rest.get_u8())
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, FrameError> {
        self.require(2, field)?;
        Ok(self.rest.get_u16())
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, FrameError> {
        self.require(4, field)?;
        Ok(self.rest.get_u32())
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, FrameError> {
        self.require(8, field)?;
        Ok(self.rest.get_u64())
    }

    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f32, FrameError> {
        self.require(4, field)?;
        Ok(self.rest.get_f32())
    }

    /// Reads the next `count` bytes.
    pub(crate) fn bytes(
        &mut self,
        count: usize,
        field: &'static str,
    ) -> Result<&'a [u8], FrameError> {
        self.require(count, field)?;
        let (head, tail) = self.rest.split_at(count);
        self.rest = tail;
        Ok(head)
    }

    /// Reads an engine's address, whose bytes in order are the engine's id.
    pub(crate) fn engine(&mut self, field: &'static str) -> Result<EngineId, FrameError> {
        self.require(ENGINE_BYTES, field)?;
        let address = u64::from(self.rest.get_u32());
        let port = u64::from(self.rest.get_u16());
        Ok(EngineId(address << PORT_BITS | port))
    }

    /// Reads the code of a record.
    pub(crate) fn record_code(&mut self) -> Result<RecordCode, FrameError> {
        let position = self.position();
        let code = self.u8("code")?;
        RecordCode::from_wire(code).ok_or(FrameError::UnknownRecord { position, code })
    }

    /// Reads the code of an outcome.
    pub(crate) fn outcome_kind(&mut self, field: &'static str) -> Result<OutcomeKind, FrameError> {
        let position = self.position();
        match self.u16(field)? {
            1 => Ok(OutcomeKind::Ok),
            2 => Ok(OutcomeKind::Error),
            3 => Ok(OutcomeKind::Rejected),
            4 => Ok(OutcomeKind::Timeout),
            5 => Ok(OutcomeKind::ConnectFailed),
            6 => Ok(OutcomeKind::Reset),
            7 => Ok(OutcomeKind::Cancelled),
            8 => Ok(OutcomeKind::NeverSent),
            code => Err(FrameError::UnknownOutcome {
                position,
                field,
                code,
            }),
        }
    }

    /// Reads a load report: the number of its values, then the values.
    pub(crate) fn load_report(&mut self, field: &'static str) -> Result<LoadReport, FrameError> {
        let count = self.u8(field)?;
        let mut values = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            values.push(self.f32(field)?);
        }
        Ok(LoadReport::from_values(&values))
    }
}
