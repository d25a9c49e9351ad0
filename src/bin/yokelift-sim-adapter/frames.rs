//! Binary frames: events in, actions out. Big-endian, no padding.

use bytes::{Buf, BufMut};
use yokelift::policy::api::*;

/// Reads fields off one frame and remembers where it stands.
pub struct Reader<'a> {
    whole: usize,
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Starts at the first byte after the frame's length field.
    pub fn new(body: &'a [u8]) -> Self {
        Reader {
            whole: body.len(),
            rest: body,
        }
    }

    /// Byte position within the frame, its length field included.
    pub fn at(&self) -> usize {
        4 + self.whole - self.rest.len()
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// A complaint about a field that starts here.
    pub fn bad<T>(&self, field: &str, what: &str) -> Result<T, String> {
        Err(format!("byte {}: {field}: {what}", self.at()))
    }

    fn need(&self, n: usize, field: &str) -> Result<(), String> {
        if self.rest.len() < n {
            self.bad(field, "the frame ends too soon")
        } else {
            Ok(())
        }
    }

    /// An unsigned byte.
    pub fn u8(&mut self, field: &str) -> Result<u8, String> {
        self.need(1, field)?;
        Ok(self.rest.get_u8())
    }

    /// Two bytes.
    pub fn u16(&mut self, field: &str) -> Result<u16, String> {
        self.need(2, field)?;
        Ok(self.rest.get_u16())
    }

    /// Four bytes.
    pub fn u32(&mut self, field: &str) -> Result<u32, String> {
        self.need(4, field)?;
        Ok(self.rest.get_u32())
    }

    /// Eight bytes.
    pub fn u64(&mut self, field: &str) -> Result<u64, String> {
        self.need(8, field)?;
        Ok(self.rest.get_u64())
    }

    /// A single-precision number.
    pub fn f32(&mut self, field: &str) -> Result<f32, String> {
        self.need(4, field)?;
        Ok(self.rest.get_f32())
    }

    /// `n` bytes as they are.
    pub fn bytes(&mut self, n: usize, field: &str) -> Result<&'a [u8], String> {
        self.need(n, field)?;
        let (head, tail) = self.rest.split_at(n);
        self.rest = tail;
        Ok(head)
    }

    /// Four bytes of address and a port, kept as one number.
    pub fn engine(&mut self, field: &str) -> Result<EngineId, String> {
        self.need(6, field)?;
        Ok(EngineId(
            u64::from(self.rest.get_u32()) << 16 | u64::from(self.rest.get_u16()),
        ))
    }

    /// The kind of outcome.
    pub fn outcome(&mut self, field: &str) -> Result<OutcomeKind, String> {
        self.need(2, field)?;
        let kind = match u16::from_be_bytes([self.rest[0], self.rest[1]]) {
            1 => OutcomeKind::Ok,
            2 => OutcomeKind::Error,
            3 => OutcomeKind::Rejected,
            4 => OutcomeKind::Timeout,
            5 => OutcomeKind::ConnectFailed,
            6 => OutcomeKind::Reset,
            7 => OutcomeKind::Cancelled,
            8 => OutcomeKind::NeverSent,
            other => return self.bad(field, &format!("unknown outcome {other}")),
        };
        self.rest.advance(2);
        Ok(kind)
    }

    /// A load report.
    pub fn load(&mut self, field: &str) -> Result<LoadReport, String> {
        let n = usize::from(self.u8(field)?);
        let values = (0..n)
            .map(|_| self.f32(field))
            .collect::<Result<Vec<f32>, String>>()?;
        Ok(LoadReport::from_values(&values))
    }

    /// The entries of a numbered list.
    pub fn entries(&mut self) -> Result<Vec<Endpoint>, String> {
        let n = self.u32("LIST rows")? as usize;
        self.need(n.saturating_mul(24), "LIST rows")?;
        let mut entries = Vec::with_capacity(n);
        for _ in 0..n {
            let id = self.engine("rows engine")?;
            let zone = ZoneId(u16::from(self.u8("rows locality")?));
            let kind = MachineTypeId(self.u16("rows type")?);
            let cell = CellId(self.u16("rows cohort")?);
            self.need(1, "rows readiness")?;
            let readiness = match self.rest[0] {
                0 => Readiness::Removed,
                1 => Readiness::Ready,
                2 => Readiness::Draining,
                other => return self.bad("rows readiness", &format!("unknown value {other}")),
            };
            self.rest.advance(1);
            let weight = f64::from(self.f32("rows nominal")?);
            let ready_at = self.u64("rows ready_at_ns")?;
            entries.push(Endpoint {
                id,
                zone,
                machine_type: kind,
                cell,
                readiness,
                weight,
                started_at: ready_at,
            });
        }
        Ok(entries)
    }
}

fn put_engine(out: &mut Vec<u8>, engine: EngineId) {
    out.put_u32((engine.0 >> 16) as u32);
    out.put_u16(engine.0 as u16);
}

fn put_short(out: &mut Vec<u8>, data: &[u8]) {
    let data = &data[..data.len().min(usize::from(u16::MAX))];
    out.put_u16(data.len() as u16);
    out.put_slice(data);
}

/// Appends one action of an instance to a reply.
pub fn put_action(out: &mut Vec<u8>, instance: u32, action: &Action) {
    let code = match action {
        Action::Log(_) => 1,
        Action::SendToPeer { .. } => 2,
        Action::Cancel { .. } => 4,
        Action::SetAttemptOptions { .. } => 5,
        Action::CloseIdleConnections { .. } => 6,
        Action::FetchEndpointList => 7,
        Action::Probe { .. } => 8,
        Action::Reject { .. } => 9,
        Action::Fail { .. } => 10,
        Action::WatchEndpointList(_) => 11,
        Action::StartTimer { .. } => 12,
        Action::Send { .. } => 13,
    };
    out.put_u8(code);
    out.put_u32(instance);
    match action {
        Action::Log(text) => put_short(out, text.as_bytes()),
        Action::SendToPeer { peer, data } => {
            out.put_u16(peer.map_or(u16::MAX, |p| p as u16));
            put_short(out, data);
        }
        Action::Cancel { id, attempt } => {
            out.put_u32(id.0);
            out.put_u16(attempt.0);
        }
        Action::SetAttemptOptions {
            id,
            priority,
            memory_mb,
        } => {
            out.put_u32(id.0);
            out.put_u8(*priority);
            out.put_f32(*memory_mb as f32);
        }
        Action::CloseIdleConnections { engine } | Action::Probe { engine } => {
            put_engine(out, *engine)
        }
        Action::FetchEndpointList => {}
        Action::Reject { id, retry_after } => {
            out.put_u32(id.0);
            out.put_u64(*retry_after);
        }
        Action::Fail { id } => out.put_u32(id.0),
        Action::WatchEndpointList(on) => out.put_u8(u8::from(*on)),
        Action::StartTimer { after, token } => {
            out.put_u64(*after);
            out.put_u64(*token);
        }
        Action::Send {
            id,
            engine,
            timeout,
        } => {
            out.put_u32(id.0);
            put_engine(out, *engine);
            out.put_u64(*timeout);
        }
    }
}
