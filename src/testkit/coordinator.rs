//! A stand-in coordinator: numbered events, sent on to whoever follows.
use super::{Executor, listener};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{Endpoint, EngineId, Readiness};
use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The stand-in.
pub struct Coordinator {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Events from the second on, as frames; the first is the list that the daemon is given.
    frames: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Counts up to break all connections.
    breaks: Rc<RefCell<u64>>,
    /// Counts up to keep events from all connections there are.
    stalls: Rc<Cell<u64>>,
    /// Closed to end it; it lives on where this is merely dropped.
    ending: Sender<()>,
}

fn record(listed: &ListedEndpoint) -> Vec<u8> {
    let entry = &listed.endpoint;
    let ip = match listed.addr.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => [0; 4],
    };
    let mut out = (entry.id.0 as u32).to_be_bytes().to_vec();
    out.extend(ip);
    out.extend(listed.addr.port().to_be_bytes());
    out.push(match entry.readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Removed => 2,
    });
    out.extend([entry.zone.0 as u8, entry.machine_type.0 as u8]);
    out.extend(entry.cell.0.to_be_bytes());
    out.extend(((entry.weight * 1000.0) as u32).to_be_bytes());
    out.extend((entry.started_at / 1_000_000).to_be_bytes());
    out
}

fn frame(number: u64, kind: u8, records: &[u8]) -> Vec<u8> {
    let mut out = (9 + records.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(records);
    out
}

impl Coordinator {
    /// Starts one.
    pub fn start(executor: &Executor) -> Coordinator {
        Coordinator::with(executor, Vec::new())
    }

    /// Starts another one that goes on with the numbers of this one.
    pub fn successor(&self, executor: &Executor) -> Coordinator {
        Coordinator::with(executor, self.frames.borrow().clone())
    }

    fn with(executor: &Executor, frames: Vec<Vec<u8>>) -> Coordinator {
        let (listener, addr) = listener();
        let frames: Rc<RefCell<Vec<Vec<u8>>>> = Rc::new(RefCell::new(frames));
        let breaks: Rc<RefCell<u64>> = Rc::default();
        let stalls: Rc<Cell<u64>> = Rc::default();
        let stalled = stalls.clone();
        let (all, broken, spawner) = (frames.clone(), breaks.clone(), executor.clone());
        let (ending, ended) = bounded::<()>(1);
        let kept = ending.clone();
        let serve = async move {
            let mut incoming = Box::pin(listener.incoming());
            let end = async || {
                let _ = ended.recv().await;
                None
            };
            while let Some(Ok(stream)) = or(end(), incoming.next()).await {
                let (frames, breaks, stalls) = (all.clone(), broken.clone(), stalled.clone());
                spawner
                    .spawn(async move { drop(feed(stream, &frames, &breaks, &stalls).await) })
                    .detach();
            }
            drop(kept);
        };
        executor.spawn(serve).detach();
        Coordinator {
            addr,
            frames,
            breaks,
            stalls,
            ending,
        }
    }

    /// A new event: what has changed, or the whole list.
    pub fn tell(&self, whole: bool, engines: &[ListedEndpoint]) {
        let records: Vec<u8> = engines.iter().flat_map(record).collect();
        let mut frames = self.frames.borrow_mut();
        let number = frames.len() as u64 + 2;
        frames.push(frame(number, if whole { 1 } else { 2 }, &records));
    }

    /// The connections there are go on to live, but carry no event any more.
    pub fn stall(&self) {
        self.stalls.set(self.stalls.get() + 1);
    }

    /// Takes no connections any more and breaks all there are.
    pub fn end(&self) {
        self.ending.close();
        self.cut();
    }

    /// Breaks all connections.
    pub fn cut(&self) {
        *self.breaks.borrow_mut() += 1;
    }
}

async fn feed(
    mut stream: Async<TcpStream>,
    frames: &RefCell<Vec<Vec<u8>>>,
    breaks: &RefCell<u64>,
    stalls: &Cell<u64>,
) -> std::io::Result<()> {
    let (mut last, from, flows) = ([0; 8], *breaks.borrow(), stalls.get());
    stream.read_exact(&mut last).await?;
    let mut next = u64::from_be_bytes(last).saturating_sub(1) as usize;
    let mut quiet = 0;
    while *breaks.borrow() == from {
        let most = if stalls.get() == flows { usize::MAX } else { 0 };
        let new: Vec<Vec<u8>> = frames
            .borrow()
            .iter()
            .skip(next)
            .take(most)
            .cloned()
            .collect();
        next += new.len();
        for frame in new {
            stream.write_all(&frame).await?;
        }
        if quiet % 100 == 0 {
            stream.write_all(&frame(next as u64 + 1, 0, &[])).await?;
        }
        quiet += 1;
        Timer::after(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// A listed endpoint that is in service, in the first zone, of the first kind and cell.
pub fn ready_endpoint(id: u32, addr: SocketAddr) -> ListedEndpoint {
    let endpoint = Endpoint {
        id: EngineId(u64::from(id)),
        readiness: Readiness::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    ListedEndpoint { endpoint, addr }
}

/// The events of a start, as the configuration has them.
pub fn known(engines: &[ListedEndpoint], zones: &[&str], kinds: &[&str]) -> Value {
    let server = |l: &ListedEndpoint| {
        json!({"id": format!("s-{:08x}", l.endpoint.id.0), "addr": l.addr.to_string(),
            "zone": zones[usize::from(l.endpoint.zone.0)], "kind": kinds[usize::from(l.endpoint.machine_type.0)],
            "cell": l.endpoint.cell.0, "state": "in_service", "weight": 1, "started_ms": 0})
    };
    let servers: Vec<Value> = engines.iter().map(server).collect();
    json!({"index": 1, "updates": [{"index": 1, "endpoints": {"version": 1, "full": true, "servers": servers}}]})
}
