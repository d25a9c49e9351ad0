//! What one hollow manager is made of beside the daemon's actor: its address, its place in its
//! thread, and what stands in place of its module.
use super::fleet::Plan;
use super::observations::Observations;
use crate::clock::{self, Micros, SEC};
use crate::lease::Resource;
use crate::lease::shared_probe::{ProbeResult, ProbeStatus};
use crate::net::dispatcher::DispatcherEvent;
use crate::net::fleet::lease::ProbeRequest;
use crate::net::{Shared, sleep_until};
use async_channel::Receiver;
use futures_lite::future::or;
use rand_core::Rng;
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// What an engine is said to take for its answer, in microseconds.
const ANSWER: Micros = 300;
/// Hollow managers on one of the networks of 127.64.0.0/16.
const A_NET: usize = 250;

/// The address of a hollow manager, at a free port.
pub fn home(who: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, 64, 1 + (who / A_NET) as u8, 1 + (who % A_NET) as u8),
        0,
    ))
}

/// Which hollow manager lives at an address, if any does.
pub fn resident(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    match at.ip().octets() {
        [127, 64, net, host] => {
            Some(usize::from(net.checked_sub(1)?) * A_NET + usize::from(host.checked_sub(1)?))
        }
        _ => None,
    }
}

/// Runs a manager, unless it is stopped, and counts how long its turns take.
pub struct Run<F> {
    /// It.
    pub inner: Pin<Box<F>>,
    /// Whether it runs, and for how long it did.
    pub pulse: Rc<Pulse>,
}

/// Whether a manager runs.
#[derive(Default)]
pub struct Pulse {
    /// It does not: it gets no turn.
    pub stopped: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    /// How long its turns took, by the clock.
    pub busy: Cell<Duration>,
}

impl<F: Future<Output = ()>> Future for Run<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.pulse.stopped.get() {
            *self.pulse.waker.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let begun = Instant::now();
        let done = self.inner.as_mut().poll(cx);
        self.pulse.busy.set(self.pulse.busy.get() + begun.elapsed());
        done
    }
}

/// What a hollow module counts.
#[derive(Default)]
pub struct Asked {
    /// Loads it wanted.
    pub wants: Cell<u64>,
    /// Probes it was ordered to send, for itself and for others.
    pub probes: Cell<u64>,
    /// Loads it was told by owners.
    pub told: Cell<u64>,
}

/// In place of the module: answers probes at once, and wants some engine's load now and then. Never
/// ends.
pub async fn hollow_module(
    shared: Rc<Shared>,
    mailbox: Receiver<DispatcherEvent>,
    asked: Rc<Asked>,
    mut random: Pcg32,
    (who, plan, board): (usize, Arc<Plan>, Arc<Observations>),
) {
    let every = (plan.wants > 0.0 && plan.engines > 0).then(|| (SEC as f64 / plan.wants) as Micros);
    let mut pick = move |below: u64| u64::from(random.next_u32()) % below.max(1);
    let mut next = every.map(|every| clock::turn() + pick(every));
    loop {
        let input = or(async { mailbox.recv().await.ok() }, async {
            sleep_until(next).await;
            None
        });
        let input = input.await;
        let duties = shared.lease_requests.borrow().clone();
        let say = |word| duties.as_ref().map(|duties| duties.try_send(word));
        match input {
            Some(DispatcherEvent::Probe { engine, .. }) => {
                asked.probes.set(asked.probes.get() + 1);
                let load = [1.0, 0.5, 0.0, 0.0];
                let sounding = ProbeResult {
                    status: ProbeStatus::Succeeded,
                    latency: ANSWER,
                    load_fields: 2,
                    load,
                };
                let _ = say(ProbeRequest::ProbeFinished {
                    engine,
                    result: Some(sounding),
                });
            }
            Some(DispatcherEvent::SharedProbeResult { .. }) => asked.told.set(asked.told.get() + 1),
            Some(DispatcherEvent::LeaseChanged {
                resource: Resource::Probe(engine),
                token,
                held: owns,
            }) => board.owns(who, engine, token, owns),
            Some(_) => {}
            None => {
                asked.wants.set(asked.wants.get() + 1);
                let _ = say(ProbeRequest::LoadWanted {
                    engine: 1 + pick(plan.engines),
                });
                next = every.map(|every| clock::turn() + every / 2 + pick(every));
            }
        }
    }
}
