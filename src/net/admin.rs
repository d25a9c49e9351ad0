//! The second address: its listener and the actor of each caller. Answers from the lifecycle and
//! from what the core has put down; it never waits for the module.
use super::{CountGuard, Shared, sleep_until};
use crate::audit::RecordPosition;
use crate::clock::{self, MS, Micros, SEC};
use crate::frontend::admin::{self, AdminRequest, RequestError};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Callers at once at most. Their descriptors are of the quarter that neither clients nor engines
/// get: a part of it.
const CALLERS: usize = 16;
const PART: usize = 16;
/// A caller owes its call, and takes its answer, within this time.
const OWED: Micros = 2 * SEC;
/// After the answer a little of what the caller still sends is taken in, lest a reset takes the
/// answer along.
const LAST_WORDS: Micros = 200 * MS;

/// Accepts callers; with all places taken, the oldest one goes: its call is not finished.
pub async fn listen(shared: Rc<Shared>, listener: Async<TcpListener>) {
    let places: Rc<RefCell<BTreeMap<u64, Sender<()>>>> = Rc::default();
    let held = Rc::default();
    let mut incoming = Box::pin(listener.incoming());
    let mut next = 0u64;
    while let Some(stream) = incoming.next().await {
        let stream = match stream {
            Ok(stream) => stream,
            Err(e) => {
                log!("accepting an operator: {e}");
                Timer::after(Duration::from_millis(10)).await;
                continue;
            }
        };
        let most = (shared.limits.get().descriptors / PART).clamp(2, CALLERS);
        if places.borrow().len() >= most {
            places
                .borrow_mut()
                .pop_first()
                .map(|(_, oldest)| oldest.close());
        }
        let (place, shed) = bounded(1);
        places.borrow_mut().insert(next, place);
        let (all, mine, taken, socket) =
            (shared.clone(), next, places.clone(), CountGuard::new(&held));
        shared.spawn(async move {
            serve(&all, stream, shed).await;
            taken.borrow_mut().remove(&mine);
            drop(socket);
        });
        next += 1;
        // One that was shed ends at its next turn, before the next one is taken.
        yield_now().await;
    }
}

async fn serve(shared: &Shared, mut stream: Async<TcpStream>, shed: Receiver<()>) {
    let _ = stream.get_ref().set_nodelay(true);
    let late_at = clock::turn() + OWED;
    let shed = async {
        let _ = shed.recv().await;
        None
    };
    let late = async {
        sleep_until(Some(late_at)).await;
        Some(Err(RequestError::Late))
    };
    let Some(call) = or(shed, or(read(&mut stream), late)).await else {
        return;
    };
    let answer = match call {
        Ok(call) => carry_out(shared, call).await,
        Err(why) => admin::wrong(why),
    };
    let last_at = clock::turn() + SEC;
    let write = async {
        let whole = stream.write_all(&answer).await.is_ok();
        if whole && stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            let rest_at = clock::turn() + LAST_WORDS;
            let mut rest = [0; 1024];
            let drain = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
            or(drain, sleep_until(Some(rest_at))).await;
        }
    };
    or(write, sleep_until(Some(last_at))).await;
}

/// Reads a call; nothing if the caller went away.
async fn read(stream: &mut Async<TcpStream>) -> Option<Result<AdminRequest, RequestError>> {
    let (mut input, mut piece) = (Vec::new(), [0; 1024]);
    loop {
        let n = stream.read(&mut piece).await.ok().filter(|n| *n > 0)?;
        input.extend_from_slice(&piece[..n]);
        match admin::call(&input) {
            Ok(None) => {}
            Ok(Some(call)) => return Some(Ok(call)),
            Err(why) => return Some(Err(why)),
        }
    }
}

async fn audit(shared: &Shared, since: RecordPosition, most: usize) -> Vec<u8> {
    match super::audit::read(shared, since, most).await {
        Some(Ok(page)) => admin::answer(200, None, &page.text()),
        Some(Err(why)) => admin::answer(503, None, &format!("{why}\n")),
        None => admin::answer(404, None, "no audit is kept: no fleet file with [audit]\n"),
    }
}

async fn carry_out(shared: &Shared, call: AdminRequest) -> Vec<u8> {
    let now = clock::turn();
    match call {
        AdminRequest::Ready => {
            let life = shared.lifecycle.borrow();
            let status = if life.is_ready() { 200 } else { 503 };
            admin::answer(
                status,
                None,
                &format!("{:?}\n", life.stage()).to_lowercase(),
            )
        }
        AdminRequest::Metrics => {
            admin::answer(200, None, &admin::figures(&shared.current_metrics()))
        }
        AdminRequest::Drain => {
            shared.lifecycle.borrow_mut().drain(now);
            log!("told to send clients away");
            admin::answer(200, None, "draining\n")
        }
        AdminRequest::Undrain => {
            let may = shared.lifecycle.borrow_mut().undrain();
            log!(
                "the drain is {}",
                if may {
                    "over"
                } else {
                    "not over: the program ends"
                }
            );
            if may {
                admin::answer(200, None, "serving\n")
            } else {
                admin::answer(409, None, "the program is about to end\n")
            }
        }
        AdminRequest::Audit(since, most) => audit(shared, since, most).await,
        AdminRequest::Duties => match shared.lease_view.borrow().as_ref() {
            Some(view) => admin::answer(200, None, view),
            None => admin::answer(
                404,
                None,
                "no duties are shared out: no fleet file with [duties]\n",
            ),
        },
        AdminRequest::Fleet => match shared.fleet_view.borrow().as_ref() {
            Some(view) => admin::answer(200, None, &view.lines()),
            None => admin::answer(
                404,
                None,
                "no fleet membership: started without a fleet file\n",
            ),
        },
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_admin.rs"]
mod tests;
